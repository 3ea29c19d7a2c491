#pragma once

// Callers that send requests to the instances, keep connections open as long as the process lives, and check
// what comes back.

#include "http/connection_pool.h"
#include "http/exchange.h"
#include "journal.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <vector>

namespace teaselcross::soak {

/// An instance as callers see it.
struct front {
    endpoint address;
    endpoint readiness;
    bool in_rotation = false; ///< By its readiness answers, as the platform's balancer sees it.
    /// A planned stop began then, with nothing else going on: no answer may be cut until the process ends.
    std::optional<instant> stopping_since;
};

/// The path that each configuration adds to those of the versions before it.
inline auto path_of_version(std::uint64_t version) -> std::string {
    return "/version-" + std::to_string(version) + "/";
}

struct caller_options {
    double rate = 150; ///< Requests a second of all callers.
    duration patience = std::chrono::milliseconds{1000};
    bool has_accounts = false; ///< Callers carry keys of client accounts.
    /// The configuration changes so quickly that its latest version is never held to the bound in time.
    bool has_quick_changes = false;
};

class callers {
public:
    callers(boost::asio::io_context& context, std::vector<front>& fronts, journal& seen,
            caller_options options, std::uint64_t seed);

    /// Sends requests until stop(), asks for readiness once a second, and checks which configuration is in
    /// force on each instance.
    auto start() -> void;
    auto stop() -> void { m_stopping = true; }
    auto in_flight() const -> std::size_t { return m_in_flight; }

    /// Requests and successes since the last call.
    struct sample {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;
    };
    auto take_sample() -> sample { return std::exchange(m_sample, {}); }

private:
    auto arrive() -> boost::asio::awaitable<void>;
    auto ask_readiness(front& asked) -> boost::asio::awaitable<void>;
    auto send(std::size_t instance) -> boost::asio::awaitable<void>;
    /// Asks one instance again and again for the route that the latest configuration has added, or with quick
    /// changes the latest one that must be in force.
    auto probe_config(std::size_t instance) -> boost::asio::awaitable<void>;
    auto judge(const front& to, const std::string& id, const http_response& answer) -> void;

    boost::asio::io_context& m_context;
    std::vector<front>& m_fronts;
    journal& m_seen;
    caller_options m_options;
    std::mt19937_64 m_random;
    connection_pool m_pool;
    connection_pool m_readiness_pool;
    std::uint64_t m_sent = 0;
    std::uint64_t m_run; ///< Distinguishes the ids of different soaks.
    std::size_t m_in_flight = 0;
    sample m_sample;
    bool m_stopping = false;
};

} // namespace teaselcross::soak
