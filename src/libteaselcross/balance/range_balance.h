#pragma once

// Which keys to move so that no holder gets more requests than it bears.
//
// Answers the pattern of a clump of hot keys that appears in one holder's range and moves on within seconds:
// pieces are cut off at the ends of the hottest range, so the neighbours of a hot key leave before the key
// itself does.

#include "keyspace/key_map.h"
#include "ownership/range_grantor.h"

#include <vector>

namespace teaselcross {

struct balance_options {
    duration memory{};                ///< Time constant of the rates.
    double overload = 0;              ///< Load of a holder, relative to what it bears, above which keys move.
    double significance = 0;          ///< Standard deviations of a rate by which it must exceed the bound.
    double least_gain = 0.2;          ///< Difference of relative loads that is worth a move.
    std::size_t moves_at_once = 6;    ///< Each takes its keys out of service for a moment.
    std::size_t holders_per_move = 8; ///< One more move at once for so many holders.
    std::size_t ranges_per_holder =
        8; ///< Each range is renewed apart, so pieces must not multiply without bound.
};

/// A clump of hot keys: seen within a second, and far beyond chance.
constexpr auto sudden_heat =
    balance_options{.memory = std::chrono::milliseconds{900}, .overload = 0.6, .significance = 2.5};
/// Holders that have been given more than their machine bears: small differences count, when they last.
constexpr auto lasting_load = balance_options{
    .memory = std::chrono::milliseconds{6000}, .overload = 0.45, .significance = 1.0, .moves_at_once = 3};

/// Requests a second of each key, smoothed.
struct key_rates {
    balance_options options;
    std::vector<float> rate = std::vector<float>(last_shard_key + 1, 0.0F);
    instant updated{};
    instant since{}; ///< When the first request was counted; the epoch before.
};

/// Lets the rates fade to @a now.
auto fade(key_rates& rates, instant now) -> void;
/// Adds @a count requests for @a key. Precondition: fade() was called for now.
auto add_requests(key_rates& rates, shard_key key, std::uint32_t count) -> void;

/// Requests a second of each range of @a map.
auto range_loads(const key_map& map, const key_rates& rates) -> std::vector<double>;

struct planned_move {
    shard_key first = 0;
    shard_key last = 0;
    target_incarnation to;
};

/// The moves worth making now; none overlaps another or a range that moves already.
auto plan_moves(const range_grantor& state, const key_rates& rates) -> std::vector<planned_move>;

} // namespace teaselcross
