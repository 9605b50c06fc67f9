// The HTTP server and client over a real socket on loopback, with generated requests.
#include <arpa/inet.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

#include "loopback.h"
#include "net/pool.h"

namespace shunttrail::test {
namespace {

// A server that answers each request with its body, and the path /later with 503 and Retry-After.
// It keeps requests unanswered while hold_requests is set.
struct EchoServer {
  actor::Loop loop;
  config::Endpoint at{"127.0.0.1", free_port()};
  std::vector<std::string> received_bodies;
  std::vector<net::ExchangePtr> held_requests;
  bool hold_requests = false;
  net::Server server{
      loop, at, 64 * 1024, [this](net::ExchangePtr ex) {
        received_bodies.push_back(ex->body);
        if (hold_requests) {
          held_requests.push_back(ex);
          return;
        }
        ex->send({ex->path == "/later" ? 503 : 200, ex->body, ex->path == "/later" ? 2.0 : 0.0});
      }};
  bool run_until(const std::function<bool()>& is_done, int max_iterations = 20000) {
    return run_loop_until(loop, is_done, max_iterations);
  }
  // Writes the bytes to a new connection, and returns all bytes that the server sends back.
  std::string send_raw(const std::string& bytes) {
    int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket_fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS)
      std::abort();
    std::size_t sent = 0;
    std::string response;
    run_until(
        [&] {
          if (sent < bytes.size()) {
            ssize_t n = send(socket_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n > 0) sent += static_cast<std::size_t>(n);
            if (n < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS)
              sent = bytes.size();
            if (sent == bytes.size()) shutdown(socket_fd, SHUT_WR);
          }
          char buffer[4096];
          ssize_t n = recv(socket_fd, buffer, sizeof buffer, 0);
          if (n > 0) response.append(buffer, static_cast<std::size_t>(n));
          return n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN);
        },
        1500);
    close(socket_fd);
    return response;
  }
};

RC_GTEST_PROP(Net, RequestBodiesAreEchoedUnchanged, ()) {
  EchoServer echo;
  net::Client client(echo.loop, echo.at, 3, 64);
  auto bodies = *rc::gen::container<std::vector<std::string>>(
      8, rc::gen::nonEmpty(rc::gen::arbitrary<std::string>()));
  std::size_t answered = 0, wrong = 0;
  for (const auto& body : bodies)
    client.request("POST", "/x", body, 5, [&, body](net::Result r) {
      ++answered;
      wrong += r.status != 200 || r.body != body;
    });
  RC_ASSERT(echo.run_until([&] { return answered == bodies.size(); }));
  RC_ASSERT(wrong == 0u);
}

// Bytes that are not an HTTP request may end their own connection; the next request is served.
RC_GTEST_PROP(Net, TheRequestAfterAMalformedOneIsServed, (std::string bytes)) {
  EchoServer echo;
  echo.send_raw(bytes);
  echo.send_raw("POST /x HTTP/1.1\r\nContent-Length: 99\r\n\r\n" + bytes.substr(0, 50));
  std::string response =
      echo.send_raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
  RC_ASSERT(response.find("200 OK") != std::string::npos);
  RC_ASSERT(response.find("hi") != std::string::npos);
}

TEST(Net, ABodyAboveTheLimitIsAnswered413AndLaterRequestsAreServed) {
  EchoServer echo;
  std::string big(70 * 1024, 'x');
  std::string got =
      echo.send_raw("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(big.size()) +
                    "\r\n\r\n" + big);
  EXPECT_TRUE(echo.received_bodies.empty());
  EXPECT_NE(got.find("413"), std::string::npos) << got.substr(0, 200);
  EXPECT_NE(echo.send_raw("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").find("200 OK"), std::string::npos);
}

TEST(Net, ARefusalCarriesARetryAfterHeader) {
  EchoServer echo;
  EXPECT_NE(echo.send_raw("GET /later HTTP/1.1\r\nHost: a\r\n\r\n").find("Retry-After: 2"),
            std::string::npos);
}

// The server must neither write to a connection that the user has closed, nor end the process.
TEST(Net, AnAnswerToAClosedConnectionIsDropped) {
  EchoServer echo;
  echo.hold_requests = true;
  echo.send_raw("GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(echo.run_until([&] { return echo.held_requests.size() == 1; }));
  echo.held_requests[0]->send({200, "too late", 0});
  echo.held_requests.clear();
  echo.hold_requests = false;
  EXPECT_NE(echo.send_raw("GET /x HTTP/1.1\r\nHost: a\r\n\r\n").find("200 OK"), std::string::npos);
}

// Guards against a controller that runs out of sockets. One controller that led every shard of
// 1,812 machines reached its quota of 3,129: for each worker it kept a connection for direct
// commands beside the one for the worker's heartbeats.
TEST(Net, APoolAtItsLimitClosesIdleClientsAndKeepsBusyOnes) {
  EchoServer echo;
  net::Pool pool(echo.loop);
  int answered = 0;
  for (int i = 0; i < 40; ++i) {
    pool.at("m-" + std::to_string(i), echo.at, 5)
        .request("POST", "/x", "hello", 5, [&](net::Result r) { answered += r.status == 200; });
    ASSERT_TRUE(echo.run_until([&] { return answered == i + 1; }));
    EXPECT_LE(pool.size(), 5u);
  }
  // Busy clients are not closed, so the limit is exceeded.
  echo.hold_requests = true;
  for (int i = 0; i < 8; ++i)
    pool.at("h-" + std::to_string(i), echo.at, 5)
        .request("POST", "/x", "hello", 5, [&](net::Result r) { answered += r.status == 200; });
  EXPECT_EQ(pool.size(), 8u);
  ASSERT_TRUE(echo.run_until([&] { return echo.held_requests.size() == 8; }));
  for (auto& ex : echo.held_requests) ex->send({200, "{}", 0});
  echo.held_requests.clear();
  ASSERT_TRUE(echo.run_until([&] { return answered == 48; }));
  echo.hold_requests = false;
  pool.at("last", echo.at, 5);
  EXPECT_LE(pool.size(), 5u);
}

TEST(Net, RequestsToAnUnreachableServerEndWithoutAResponse) {
  actor::Loop loop;
  net::Client client(loop, {"127.0.0.1", free_port()}, 1, 1);
  int answers = 0, status = -1;
  for (int i = 0; i < 3; ++i)
    client.request("GET", "/x", "", 1, [&](net::Result r) {
      ++answers;
      status = r.status;
    });
  for (int i = 0; i < 20000 && answers < 3; ++i) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    usleep(100);
  }
  EXPECT_EQ(answers, 3);  // the third exceeds the queue and ends at once, the others when the
                          // connection is refused
  EXPECT_EQ(status, 0);
}

}  // namespace
}  // namespace shunttrail::test
