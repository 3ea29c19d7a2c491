#pragma once

// Whom an instance asks whether what it believes of the store's objects is still true.
//
// Answers the pattern of news that stop without a word: a watch hangs while the store withholds changes, or a
// relay loses its power while a follower waits for its next answer. Silence is never taken for agreement.

namespace teaselcross {

/// What an instance knows of one kind of objects and of those who could confirm it.
struct knowledge_state {
    bool controls = false;         ///< This instance is the controller, whom nobody confirms.
    bool controller_heard = false; ///< The controller has answered a moment ago.
    bool agrees = false;           ///< It knows the same versions.
    bool learning = false;         ///< Something was learnt a moment ago, so a difference may be on its way.
    bool follows_relay = false;    ///< Changes come from a relay, not from the store itself.
};

enum class knowledge_source {
    nobody,     ///< What is known is confirmed.
    controller, ///< It knows other versions.
    relay,      ///< Nobody confirms; the relay follows the store itself and is cheap to ask.
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
