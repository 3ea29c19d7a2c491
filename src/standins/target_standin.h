#pragma once

// Stand-ins for targets: many in one process, each with its own address. They keep the record by which the
// demonstration and the experiments are judged, and share no code with the grants that they judge.

#include "http/server.h"

#include <nlohmann/json.hpp>

#include <map>
#include <random>
#include <set>

namespace teaselcross::lab {

/// One target as the shape describes it.
struct target_shape {
    std::string name;
    std::string host;
    std::uint16_t port = 0;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t cold_slots = 1;
    bool checks_fence = true;
    double work_ms = 2;
};

/// What all stand-ins of a process have done.
struct run_record {
    std::uint64_t requests = 0;
    std::uint64_t overfed = 0;       ///< More in flight than the target bore at that moment.
    std::uint64_t refused_fence = 0; ///< Orders that the target refused.
    std::uint64_t two_owners = 0;    ///< A shard used at a target while another one held it too.
    std::uint64_t stale_fence = 0;   ///< A request ran under an older fence than one that had run.
    std::map<std::string, std::uint32_t> operations; ///< How often each operation ran.
    std::map<std::string, std::uint64_t> by_target;
    std::map<std::pair<std::string, std::uint32_t>, std::uint64_t> last_fence;

    auto repeated() const -> std::uint64_t;
};

class target_fleet;

/// One target.
class target_standin {
public:
    target_standin(target_fleet& fleet, boost::asio::io_context& context, target_shape shape,
                   std::uint64_t seed);

    auto start() -> void;
    auto shape() const -> const target_shape& { return m_shape; }
    /// Whether it would serve @a shard of its service now.
    auto holds(std::uint32_t shard) const -> bool;
    /// The shards that it holds, while its term lasts.
    auto held() const -> std::vector<std::uint32_t>;
    auto apply_fault(const std::string& kind, double value) -> void;
    auto report() const -> nlohmann::json;

private:
    using clock = std::chrono::steady_clock;

    auto handle(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    auto grant(const http_request& request) -> http_response;
    auto work(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    auto refusal(const http_request& request, const std::string& reason) -> http_response;
    auto bearable() const -> std::uint32_t;
    auto work_time() -> clock::duration;
    auto wait_while_frozen() -> boost::asio::awaitable<void>;
    auto begin_process() -> void;
    auto check_ownership(std::uint32_t shard, std::uint64_t fence) -> void;

    target_fleet& m_fleet;
    boost::asio::io_context& m_context;
    target_shape m_shape;
    std::mt19937_64 m_random;
    std::unique_ptr<http_server> m_server;
    std::vector<std::unique_ptr<http_server>> m_past_servers; ///< Their last requests may still be ending.

    // The process, forgotten by a restart.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_nonce = 0;
    clock::time_point m_nonce_drawn;
    clock::time_point m_expiry;
    std::map<std::uint32_t, std::uint64_t> m_held;
    std::uint64_t m_done_since_start = 0;

    std::uint32_t m_in_flight = 0;
    std::uint32_t m_most_in_flight = 0;
    bool m_frozen = false;
    bool m_down = false;
    double m_slowness = 1;
    double m_reported_load = -1; ///< Negative: the true one.
};

/// All targets of one process, and their record.
class target_fleet {
public:
    target_fleet(boost::asio::io_context& context, const std::string& host, std::uint16_t port,
                 const std::vector<target_shape>& shapes, std::uint64_t seed);

    auto start() -> void;
    auto record() -> run_record& { return m_record; }
    /// Targets of the service other than @a asking that hold @a shard now.
    auto other_holders(const target_standin& asking, std::uint32_t shard) const -> std::size_t;

private:
    auto administer(responder& from, http_request request) -> boost::asio::awaitable<bool>;
    /// Looks again and again for shards that two targets hold.
    auto patrol() -> boost::asio::awaitable<void>;

    boost::asio::io_context& m_context;
    run_record m_record;
    std::vector<std::unique_ptr<target_standin>> m_targets;
    http_server m_server;
};

/// Reads the targets of a shape's file.
auto read_target_shapes(const nlohmann::json& document) -> std::vector<target_shape>;

} // namespace teaselcross::lab
