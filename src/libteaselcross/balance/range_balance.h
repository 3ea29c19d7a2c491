#pragma once

// Plans which keys to move so that no holder gets more requests than its capacity.
//
// A hotspot of neighbouring keys can appear in one holder's range and move on within seconds. Keys are split
// off at the ends of the hottest range, so the neighbours of a hot key move before the key itself. A key
// with more requests than any holder can serve stays where it is: each move would take it out of service for
// a moment and overload the next holder, whose other keys would suffer in turn.

#include "keyspace/key_map.h"
#include "ownership/range_grantor.h"

#include <vector>

namespace teaselcross {

struct balance_options {
    duration time_constant{};      ///< Time constant of the exponential decay of the rates.
    double overload_threshold = 0; ///< Load of a holder relative to its capacity above which keys move.
    double significance = 0;       ///< Standard deviations by which a load must exceed the threshold.
    /// Added to the significance when counting begins; fades while the history grows. Each move takes keys
    /// out of service for a moment, and a short history shows many differences that are none.
    double start_significance = 1.5;
    double min_gain = 0.2;                ///< Minimum difference of relative loads for a move.
    std::size_t max_concurrent_moves = 6; ///< Keys are briefly unavailable while they move.
    std::size_t holders_per_move = 8;     ///< One more concurrent move per this many holders.
    std::size_t max_ranges_per_holder =
        8; ///< Each range is renewed separately, so the number of ranges must stay bounded.
};

/// For hotspots: reacts within a second, but only to loads far beyond random variation.
constexpr auto hotspot_options = balance_options{
    .time_constant = std::chrono::milliseconds{900}, .overload_threshold = 0.6, .significance = 2.5};
/// For holders with lasting load above their capacity: reacts slowly, but to small differences.
constexpr auto sustained_load_options = balance_options{.time_constant = std::chrono::milliseconds{6000},
                                                        .overload_threshold = 0.45,
                                                        .significance = 1.0,
                                                        .max_concurrent_moves = 3};

/// Smoothed request rate of each key, in requests per second.
struct key_rates {
    balance_options options;
    std::vector<float> rate = std::vector<float>(last_shard_key + 1, 0.0F); ///< Without start_correction().
    instant updated{};
    instant first_request{}; ///< Time of the first counted request; the clock's epoch before that.
};

/// Decays the rates to @a now.
auto decay(key_rates& rates, instant now) -> void;
/// Adds @a count requests for @a key; keys above the last shard key are ignored. Precondition: decay() was
/// called for the current time.
auto add_requests(key_rates& rates, shard_key key, std::uint32_t count) -> void;

/// The factor by which the rates are too low because counting has begun only recently; at least 1.
auto start_correction(const key_rates& rates) -> double;

/// Request rate of each range of @a map, in requests per second.
auto range_loads(const key_map& map, const key_rates& rates) -> std::vector<double>;

struct planned_move {
    shard_key first = 0;
    shard_key last = 0;
    target_incarnation to;
};

/// Plans the moves to start now. They overlap neither each other nor a range that is already moving.
auto plan_moves(const range_grantor& state, const key_rates& rates) -> std::vector<planned_move>;

} // namespace teaselcross
