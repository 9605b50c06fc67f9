/// A user of a simulated cluster whose requests a test sends and whose answers it checks itself.
#pragma once
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "simulation/simulated_cluster.h"

namespace shunttrail::test {

using simulation::SimulatedCluster;

/// A user in addition to the cluster's own, who sends one request at a time and waits for its
/// answer.
class SingleUser {
 public:
  explicit SingleUser(SimulatedCluster& cluster)
      : cluster_(cluster), host_(cluster.sim(), "asker") {}
  net::Result request(const config::Endpoint& to, const char* method, const std::string& path,
                      const std::string& body = "") {
    std::optional<net::Result> answer;
    auto handle = host_.request(to, method, path, body, kTimeoutS,
                                [&answer](net::Result r) { answer = std::move(r); });
    while (!answer) cluster_.run_for(0.02);
    return *answer;
  }
  net::Result request(int node, const char* method, const std::string& path,
                      const std::string& body = "") {
    return request(front(node), method, path, body);
  }
  /// Sends a request without a body to each of the paths in the same moment, and waits for all
  /// answers.
  std::vector<net::Result> request_all(int node, const char* method,
                                       const std::vector<std::string>& paths) {
    std::vector<std::optional<net::Result>> answers(paths.size());
    std::vector<net::Network::Handle> handles;
    for (std::size_t i = 0; i < paths.size(); ++i)
      handles.push_back(host_.request(front(node), method, paths[i], "", kTimeoutS,
                                      [&answer = answers[i]](net::Result r) { answer = r; }));
    for (const double until = cluster_.now() + kTimeoutS + 1; cluster_.now() < until;)
      cluster_.run_for(0.02);
    std::vector<net::Result> out;
    for (auto& answer : answers) out.push_back(answer.value_or(net::Result{}));
    return out;
  }
  /// Repeats the submission until the answer is not 503, which says that it cannot be decided yet.
  net::Result submit(int node, const std::string& body) {
    for (int tries = 0; tries < 10; ++tries) {
      net::Result r = request(node, "POST", "/v2/runs", body);
      if (r.status != 503) return r;
      cluster_.run_for(1);
    }
    return {};
  }

 private:
  static constexpr double kTimeoutS = 5;
  static config::Endpoint front(int node) {
    return {"node-" + std::to_string(node), simulation::kPublicPort};
  }

  SimulatedCluster& cluster_;
  simulation::Host host_;
};

}  // namespace shunttrail::test
