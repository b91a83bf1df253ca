// A simulated fleet: the machines, their processes, and the clients and operators outside (design 9.2).
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/agent.hpp"
#include "control/control_node.hpp"
#include "gateway/gateway.hpp"
#include "local_cluster/operator_client.hpp"
#include "local_cluster/test_client.hpp"
#include "reserve/reserve_storage.hpp"
#include "simulator/simulated_network.hpp"
#include "storage/storage_node.hpp"

namespace reachridge {

// The size and the parameters of a simulated fleet. A scenario file sets most fields by words with the same names.
struct fleet_shape {
  std::int64_t zones = 3, control_nodes = 3, storage_nodes = 3, gateways = 3, clients = 12, topics = 6, pipeline = 1;
  // Of each client: the interval between publishes, the lifetime of a connection, and the delay after which accepted
  // publishes are repeated.
  monotonic_time every = 400 * millisecond, drop = 6 * second, echo = 0;
  double loss = 0;                                   // share of lost packets
  monotonic_time sync = 3 * millisecond, spike = 0;  // duration of a disk sync, maximum extra time of a slow sync
  double spikes = 0;                                 // share of slow syncs
  bool sync_blocks_process = false;
  std::int64_t partitions = 2, keep = 35, keep_low = 0;  // retention in seconds; keep_low: of the low-urgency space
  std::int64_t extra_spaces = 0;  // spaces that clients do not use; they make the configuration large
  [[nodiscard]] auto spaces() const -> std::string;
  [[nodiscard]] auto all_spaces() const -> std::string;  // includes the extra spaces
  std::map<std::string, std::int64_t> budgets;           // latency limits without faults, in milliseconds by space
  std::map<std::string, std::string> settings;           // settings that override the defaults
};

// Owns the simulated network, all processes, and the clients and operators of a run. Node names are unique and serve as
// keys of `processes`. Functions that take a node name throw std::out_of_range if the node does not exist, unless
// stated otherwise.
class fleet {
 public:
  // One process on its machine. A process that is down has neither a host nor a node object.
  struct process {
    std::string kind, name;
    reachridge::machine* machine = nullptr;
    reachridge::settings settings;
    std::unique_ptr<sim_host> host;
    std::unique_ptr<control_node> control;
    std::unique_ptr<reserve_storage> reserve;  // beside `control`
    std::unique_ptr<storage_node> storage;
    std::unique_ptr<reachridge::agent> agent;
    std::unique_ptr<reachridge::gateway> gateway;
    std::unique_ptr<task_group> test_tasks;
    bool removed = false;  // its machine was removed permanently
    // Returns whether the process runs.
    [[nodiscard]] auto up() const -> bool {
      return host != nullptr;
    }
  };

  fleet(std::uint64_t seed, fleet_shape initial_shape);
  ~fleet();
  // Starts a process. Does nothing if the process runs, its machine has no power or its machine was removed.
  auto start(const std::string& name) -> void;
  auto kill(const std::string& name) -> void;                        // SIGKILL
  auto term(const std::string& name, monotonic_time grace) -> void;  // SIGTERM, then SIGKILL
  auto freeze(const std::string& name, bool frozen) -> void;
  // Switches the power of a machine, of a zone or of all machines ("all"). Power on starts the processes.
  auto power(const std::string& machine_or_zone, bool on) -> void;
  auto lose_disk(const std::string& name) -> void;
  // Returns whether all committed data survives the loss of this disk: each partition has two in-sync replicas on disk,
  // and each voter has its own disk.
  [[nodiscard]] auto survives_disk_loss(const std::string& name) const -> bool;
  // Returns whether all retained messages survive the simultaneous loss of any `losses` disks: each partition with
  // retention has more in-sync replicas on disk.
  [[nodiscard]] auto survives_disk_losses(std::int64_t losses) const -> bool;
  // Returns the nodes with in-sync replicas of a partition, starting with the primary's node.
  [[nodiscard]] auto in_sync_nodes(const std::string& partition) const -> std::vector<std::string>;
  // Flips `bit_count` random bits in the partition data on the disk of a node.
  auto flip_bits(const std::string& name, int bit_count) -> void;
  // Returns the number of control nodes whose disks durably hold this configuration.
  [[nodiscard]] auto control_nodes_with(const std::string& body) const -> int;
  // Returns a gateway that may still apply a configuration older than this number, or an empty text.
  [[nodiscard]] auto gateway_with_older_configuration(std::int64_t number) const -> std::string;
  // Returns a running process that has no configuration or one older than this number, or an empty text.
  [[nodiscard]] auto process_with_older_configuration(std::int64_t number) const -> std::string;
  // Return the node of the primary or backup of a partition, or an empty text.
  [[nodiscard]] auto primary_of(const std::string& partition) const -> std::string;
  [[nodiscard]] auto backup_of(const std::string& partition) const -> std::string;
  // Returns the running storage node with the most primaries.
  [[nodiscard]] auto busiest() const -> std::string;
  // Returns the control node that leads, or an empty text.
  [[nodiscard]] auto leader() const -> std::string;
  // Returns the nodes with this name, kind, zone or machine, or all nodes for "all".
  auto names(const std::string& selector) const -> std::vector<std::string>;
  auto add_storage_node() -> std::string;
  auto add_control_node() -> std::string;        // uses the current seed list
  auto remove(const std::string& name) -> void;  // permanently, with its disk
  // Replaces a control node in the seed list of the settings files. Each process uses the new list from its next start.
  auto relist(const std::string& removed, const std::string& added) -> void;
  auto add_gateway() -> std::string;  // with its agent, on a new machine; returns the number in their names
  // Starts an operator's task. `operating` counts the tasks that have not finished.
  auto operate(std::function<task<void>(operator_client&)> run) -> void;
  auto begin() -> bool;  // starts all processes, the first configuration and the clients; false on timeout
  auto finish(monotonic_time quiet) -> void;  // stops the clients and reads the control state back
  // Resets the connections of a random share of the clients.
  auto reset_client_connections(double share) -> void;
  // Write and read the durable content of all disks, for tests with disks of an earlier version.
  auto save_disks(const std::string& file) const -> void;
  auto load_disks(const std::string& file) -> void;
  // Returns the body of a configuration with the next number.
  auto next_configuration() -> std::string;
  // Overrides a setting of a process as a changed settings file would. Returns false if the value is invalid; then
  // nothing changes.
  auto change_setting(const std::string& name, const std::string& key, const std::string& value) -> bool;

  simulated_network network;
  fleet_shape shape;
  history observed;
  std::map<std::string, std::unique_ptr<process>> processes;
  std::unique_ptr<sim_host> outside;
  std::unique_ptr<balancer> client_balancer;
  std::vector<std::unique_ptr<client>> clients;
  std::unique_ptr<operator_client> operator_calls;
  std::unique_ptr<task_group> operator_tasks;
  std::vector<std::string> gateway_addresses, control_addresses;
  std::int64_t configuration_number = 0;
  int operating = 0;
  bool operator_polls = false;  // the operator probes and reads continuously
  std::uint64_t claims = 0;

 private:
  // Returns the newest cluster view of the running storage nodes, or null if none runs.
  [[nodiscard]] auto newest_view() const -> const cluster_view*;
  // Returns the number of in-sync replicas whose node still has the disk that the assignment names.
  [[nodiscard]] auto replicas_on_disk(const partition_assignment& assignment) const -> std::int64_t;
  [[nodiscard]] auto replicas_are_undamaged() const -> bool;
  // Returns the disk identity that a node's disk stores under a key, or an empty text.
  [[nodiscard]] auto disk_id_of(const std::string& name, const std::string& key) const -> std::string;
  static auto start_control(process& node) -> void;
  auto settings_for(const std::string& kind, const std::string& name, const std::string& zone,
                    const machine& own_machine) const -> settings;
  auto add(const std::string& kind, const std::string& name, const std::string& machine_name, const std::string& zone)
      -> void;
  std::vector<std::string> seeds_;
  std::uint64_t process_starts_ = 0, seed_;
  monotonic_time last_bit_flip_ = -never;  // time of the last bit flips; replicas need time to repair them
};

}  // namespace reachridge
