#pragma once

// Which keys to move so that no holder gets more requests than it bears.
//
// Answers the pattern of a clump of hot keys that appears in one holder's range and moves on within seconds: pieces
// are cut off at the ends of the hottest range, so the neighbours of a hot key leave before the key itself does.

#include "keyspace/key_map.h"
#include "ownership/range_grantor.h"

#include <vector>

namespace teaselcross {

/// Requests a second of each key, smoothed.
struct key_rates {
    std::vector<float> rate = std::vector<float>(last_shard_key + 1, 0.0F);
    instant updated{};
};

struct balance_options {
    duration memory = std::chrono::milliseconds{1000}; ///< Time constant of the rates; hot sets change within seconds.
    double overload = 0.60;          ///< Load of a holder, relative to what it bears, above which keys move.
    double significance = 2.5;       ///< Standard deviations of a rate by which it must exceed the bound.
    double least_gain = 0.25;        ///< Difference of relative loads that is worth a move.
    std::size_t moves_at_once = 6;   ///< Each takes its keys out of service for a moment.
    std::size_t ranges_per_holder = 8; ///< Each range is renewed apart, so pieces must not multiply without bound.
};

/// Lets the rates fade to @a now.
auto fade(key_rates& rates, const balance_options& options, instant now) -> void;
/// Adds @a count requests for @a key. Precondition: fade() was called for now.
auto add_requests(key_rates& rates, const balance_options& options, shard_key key, std::uint32_t count) -> void;

/// Requests a second of each range of @a map.
auto range_loads(const key_map& map, const key_rates& rates) -> std::vector<double>;

struct planned_move {
    shard_key first = 0;
    shard_key last = 0;
    target_life to;
};

/// The moves worth making now; none overlaps another or a range that moves already.
auto plan_moves(const range_grantor& state, const key_rates& rates, const balance_options& options)
    -> std::vector<planned_move>;

} // namespace teaselcross
