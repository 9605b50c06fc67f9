// Helpers of tests over real sockets on loopback.
#pragma once
#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <functional>

#include "actor/loop.h"

namespace shunttrail::test {

// Returns a port that was free at the time of the call.
inline std::uint16_t free_port() {
  int socket_fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  if (bind(socket_fd, reinterpret_cast<sockaddr*>(&address), length) != 0) std::abort();
  getsockname(socket_fd, reinterpret_cast<sockaddr*>(&address), &length);
  close(socket_fd);
  return ntohs(address.sin_port);
}

// Runs the loop until is_done returns true, at most max_iterations times. Returns what is_done
// returns at the end.
inline bool run_loop_until(actor::Loop& loop, const std::function<bool()>& is_done,
                           int max_iterations = 20000) {
  for (int i = 0; i < max_iterations && !is_done(); ++i) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    if (i > 200) usleep(100);
  }
  return is_done();
}

}  // namespace shunttrail::test
