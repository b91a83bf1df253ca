// A storage node of last resort in the process of a control node (design 6.12).
//
// With fewer storage nodes than replicas, an entry cannot reach as many disks as the tolerated losses require. The
// control nodes have disks too. Each of them then runs a storage node, which holds replicas until enough storage nodes
// are available again. It costs nothing before.
#pragma once
#include <memory>

#include "control/control_node.hpp"
#include "storage/storage_node.hpp"

namespace reachridge {

// Starts and ends the reserve storage node of one control node. Runs on the control node's event loop and uses its disk
// and the identity of that disk. A control node whose settings have no reserve address has no reserve.
class reserve_storage {
 public:
  // Starts the storage node at once if the disk holds replicas. `host` and `control` must outlive this object.
  reserve_storage(host& host, const settings& settings, control_node& control);
  ~reserve_storage();
  reserve_storage(const reserve_storage&) = delete;
  auto operator=(const reserve_storage&) -> reserve_storage& = delete;

  auto reload(const settings& settings) -> void;
  // Hands over what the storage node leads, at most until `limit`.
  auto leave(monotonic_time limit) -> task<void>;
  // Returns the storage node, or null while it does not run.
  [[nodiscard]] auto node() const -> const storage_node* {
    return node_.get();
  }

 private:
  [[nodiscard]] auto has_stored_replicas() const -> bool;
  [[nodiscard]] auto storage_settings() const -> settings;
  auto start() -> void;
  // Ends the storage node after it has been without replicas and unneeded for several failure timeouts.
  auto end_when_unneeded() -> task<void>;

  host& host_;
  settings settings_;
  control_node& control_;
  std::unique_ptr<storage_node> node_;
  bool leaving_ = false;
  task_group tasks_;
};

}  // namespace reachridge
