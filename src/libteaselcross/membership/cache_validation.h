#pragma once

// Selects the source from which an instance refreshes its local copy of the store's objects.
//
// Updates can stop without an error: a watch hangs while the store withholds changes, or a relay loses power
// while a follower waits for its next answer. Silence is therefore never taken as confirmation.

namespace teaselcross {

/// The state of the local copy of one kind of objects and of the sources that could confirm it.
struct cache_state {
    bool is_controller = false; ///< This instance is the controller; no other instance confirms its copy.
    bool controller_answered_recently = false;
    bool matches_controller = false; ///< The controller has the same versions.
    bool changed_recently = false;   ///< The copy changed recently, so a difference may be temporary.
    /// The copy was confirmed too long ago, by whomever: a controller that is late itself has the same old
    /// copy.
    bool is_unconfirmed = false;
    bool follows_relay = false; ///< Changes come from a relay, not from the store itself.
};

enum class refresh_source {
    none,       ///< The copy is confirmed.
    controller, ///< The controller has other versions.
    relay,      ///< No confirmation; the relay follows the store directly and is cheap to query.
    store,
};

/// Thread safe.
constexpr auto select_refresh_source(const cache_state& state) -> refresh_source {
    const auto is_confirmed = state.matches_controller && !state.is_unconfirmed;
    if (state.controller_answered_recently && !state.is_controller) {
        if (is_confirmed || (state.changed_recently && !state.is_unconfirmed)) {
            return refresh_source::none;
        }
        if (!state.matches_controller) {
            return refresh_source::controller;
        }
    }
    return state.follows_relay && !state.is_controller ? refresh_source::relay : refresh_source::store;
}

} // namespace teaselcross
