// The checker: reads what stand-ins saw and knows nothing of the product's code (design 9.3).
#pragma once
#include <string>
#include <vector>

#include "wax/tree.hpp"

namespace hive {

// What was seen, in order of time (`t` in milliseconds):
//  space   name keep_s resend_s            what the operator set
//  try     who topic seq body              a publish left a caller
//  verdict who topic seq verdict retry     its answer: acked, refused, unclear; retry -1: final
//  final   who topic seq verdict           the caller is through with it: acked, refused, abandoned
//  sub     who topic after(-1: anew)       a subscribe left a caller
//  subbed  who topic pos
//  gone    who topic after                 "cannot resume"
//  unsub   who topic
//  got     who topic pos from seq body
//  held    number                          told that a charter took hold
//  probe   node number ok t0               a request sent at t0 that only charter `number` allows
//  put     number                          told that a charter was accepted
//  newest  number                          what reading back gave
//  left    name                            told that a leaving is done
//  leaves  names                           the leavings that read back as done
//  back                                    all machines are back
//  served                                  a publish sent after `back` was acked
//  end     quiet                           the run is over; nothing was tried in the last `quiet` ms
struct breach {
  std::string rule, what;
};
auto judge(const std::vector<tree>& seen) -> std::vector<breach>;

}  // namespace hive
