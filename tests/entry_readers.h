#ifndef TESTS_ENTRY_READERS_H_
#define TESTS_ENTRY_READERS_H_

#include <string>

#include "bbv_core/instant.h"
#include "bbv_entry/target_requests.h"
#include "bbv_front/http_client.h"
#include "bbv_settings/socket_address.h"

namespace bbv {

// How long the functions below wait for an answer.
inline constexpr Milliseconds kReaderTimeout{2000};

// An event loop with a client whose deadlines are checked.
struct ClientLoop {
  ClientLoop();

  EventLoop loop;
  HttpClient client{&loop};
};

// Sends a call with `id` to `address`. Returns what reached its owner: "head ",
// the body, and " whole", "broken" or "other failure". Keeps the connection in
// `entry` if it may be used again.
std::string ReadAsCall(ClientLoop* entry,
                       const SocketAddress& address,
                       const std::string& id);

// The answers to an order and to a report request that `address` gave.
OrderAnswer ReadAsOrder(const SocketAddress& address);
ReportAnswer ReadAsReport(const SocketAddress& address);

// Whether a store call to `address` was answered, or the store counts as
// reachable after it.
bool IsStoreCallAnswered(const SocketAddress& address);

}  // namespace bbv

#endif  // TESTS_ENTRY_READERS_H_
