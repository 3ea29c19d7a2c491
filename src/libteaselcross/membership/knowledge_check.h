#pragma once

// Selects the source from which an instance refreshes its local copy of the store's objects.
//
// Updates can stop without an error: a watch hangs while the store withholds changes, or a relay loses power
// while a follower waits for its next answer. Silence is therefore never taken as confirmation.

namespace teaselcross {

/// The state of the local copy of one kind of objects and of the sources that could confirm it.
struct knowledge_state {
    bool controls = false;         ///< This instance is the controller; no other instance confirms its copy.
    bool controller_heard = false; ///< The controller has answered recently.
    bool agrees = false;           ///< The controller has the same versions.
    bool learning = false;         ///< The copy changed recently, so a difference may be temporary.
    bool follows_relay = false;    ///< Changes come from a relay, not from the store itself.
};

enum class knowledge_source {
    nobody,     ///< The copy is confirmed.
    controller, ///< The controller has other versions.
    relay,      ///< No confirmation; the relay follows the store directly and is cheap to query.
    store,
};

/// Thread safe.
constexpr auto source_to_ask(const knowledge_state& state) -> knowledge_source {
    if (state.controller_heard && !state.controls) {
        return state.agrees || state.learning ? knowledge_source::nobody : knowledge_source::controller;
    }
    return state.follows_relay && !state.controls ? knowledge_source::relay : knowledge_source::store;
}

} // namespace teaselcross
