// Checks the recorded history of a run against the guarantees of the service (design 9.3). The checker reads only what
// clients and operators observed and shares no code with the service.
#pragma once
#include <string>
#include <vector>

#include "runtime/value.hpp"

namespace reachridge {

// A broken guarantee: the name of the rule and the events that violate it.
struct violation {
  std::string rule, detail;
};

// Checks events in order of time. Each event has its name in `e` and its time in milliseconds in `t`. Events with other
// names are ignored. Throws if an event lacks a required field. Names and fields:
//  space   name keep_s resend_s             settings of a space
//  try     who topic seq body               a client sends a publish
//  verdict who topic seq verdict retry pos  its answer: acked, refused or unclear; retry -1: final
//  sub     who topic after                  a client sends a subscribe; after -1: a new subscription
//  subbed  who topic pos                    the subscribe is accepted
//  gone    who topic after                  the subscribe is answered with "cannot resume"
//  unsub   who topic                        a client ends a subscription
//  got     who topic pos from seq body      a client receives a message
//  held    number                           an operator reads that a configuration is in force
//  probe   node number t0                   a request sent at t0 succeeds that only this configuration allows
//  put     number sum                       an operator's configuration is accepted; sum: of its content
//  newest  number sum t0                    the configuration that a read sent at t0 returns
//  left    name                             an operator reads that a drain is done
//  leaves  names t0                         the completed drains that a read sent at t0 returns
//  apply   ms                               limit for serving an older configuration after an acceptance
//  hurt                                     a fault begins
//  mend                                     the last fault has ended: all machines and paths work again
//  seek    who                              a client starts to look for a connection
//  linked  who                              the client has a connection
//  ask     what                             an operator sends a request that needs an answer
//  told    what                             the request is answered
//  budget  space ms                         limit for acknowledgements and deliveries without faults
//  end     quiet                            the run is over; nothing was sent in the last `quiet` ms
auto check_consistency(const std::vector<value>& events) -> std::vector<violation>;

}  // namespace reachridge
