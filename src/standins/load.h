#pragma once

// Open-loop load: arrivals are scheduled, and latencies count from the scheduled time, so that waiting is not
// hidden. Every answer is checked to be whole and the caller's own.

#include "http/exchange.h"

#include <nlohmann/json.hpp>

#include <random>

namespace teaselcross::lab {

struct load_options {
    std::vector<endpoint> entries;
    std::string shape = "midlands";
    double rate = 200; ///< Requests a second, of all kinds.
    duration length = std::chrono::seconds{10};
    std::uint64_t seed = 1;
    std::uint32_t keys = 10'000;
    double skew = 0.9;                                ///< Exponent of the keys' popularity.
    duration hot_set_time = std::chrono::seconds{60}; ///< The popular keys change this often.
    double lookups = 0.75;                            ///< Shares of the kinds; the rest are downloads.
    double operations = 0.15;
    double repeats = 0.1; ///< Operations that are sent twice, through two instances.
    std::uint32_t download_bytes = 200'000;
    duration deadline = std::chrono::seconds{4};
    bool direct = false; ///< Straight to targets, as the baseline of the path's own cost.
};

/// What became of the requests of one kind.
struct load_tally {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t wrong = 0;       ///< Another request's answer, or a short one that looked whole.
    std::uint64_t cut = 0;         ///< Visibly cut short.
    std::uint64_t unreachable = 0; ///< No instance took the connection.
    std::vector<double> latencies_ms;
    std::map<std::string, std::uint64_t> reasons;
    std::vector<std::uint64_t> answered_by_second;
};

/// Runs the load on @a context, which it leaves when all requests have ended. Returns the result as JSON.
auto run_load(boost::asio::io_context& context, const load_options& options) -> nlohmann::json;

} // namespace teaselcross::lab
