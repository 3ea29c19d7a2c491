#include "ownership/grantor.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto enter_phase(grantor& state, target_phase phase, instant now) -> void {
    if (state.phase != phase) {
        state.phase = phase;
        state.phase_since = now;
    }
}

/// Clears what the process held: it has ended, so it holds nothing, whichever keeper granted it.
auto clear_process_state(grantor& state) -> void {
    for (const auto& [shard, end] : state.may_hold_until) {
        state.clear_proofs[shard] = clear_proof::process_gone;
    }
    state.may_hold_until.clear();
    state.accepted.clear();
    state.accepted_term_start = {};
    state.nonce = 0;
    state.incarnation = 0;
    // A new process does not know this epoch, so an earlier keeper's request could be accepted first.
    state.predecessors_covered = state.predecessors_stopped;
}

/// The latest end of a term that counts from the current nonce, by this keeper's clock.
auto latest_term_end(const grantor& state) -> instant {
    return state.nonce_received_at + with_drift(state.options.term, state.options.drift_ppm) +
           state.options.margin;
}

/// Whether the target enforces terms, so that the end of a term is a proof.
auto enforces_terms(const grantor& state) -> bool {
    return state.options.checks_fence;
}

auto apply_accepted_request(grantor& state, const grant_request& request) -> void {
    auto held = std::map<shard_id, instant>{};
    for (const auto& granted : request.shards) {
        // A shard whose term ended while the reply was in transit is no longer held.
        if (const auto found = state.may_hold_until.find(granted.shard);
            found != state.may_hold_until.end()) {
            held.insert(*found);
        }
    }
    for (const auto& [shard, end] : state.may_hold_until) {
        if (!held.contains(shard)) {
            state.clear_proofs[shard] = clear_proof::released;
        }
    }
    state.may_hold_until = std::move(held);
    state.accepted = request.shards;
    state.accepted_term_start = state.outstanding_term_start;
    if (enforces_terms(state) || state.predecessors_stopped) {
        state.predecessors_covered = true;
    }
}

auto are_predecessors_done(const grantor& state, instant now) -> bool {
    return state.predecessors_covered || (state.predecessors_end_at && now >= *state.predecessors_end_at);
}

} // namespace

auto make_grantor(const grantor_options& options, delegation_epoch epoch, bool first, instant now)
    -> grantor {
    auto state = grantor{};
    state.options = options;
    state.epoch = epoch;
    state.phase_since = now;
    state.last_reply_at = now;
    state.next_heartbeat_at = now;
    state.records_needed_since = now;
    state.predecessors_covered = first;
    state.predecessors_stopped = first;
    return state;
}

auto on_predecessors_stopped(grantor& state, instant now) -> void {
    if (state.predecessors_stopped) {
        return;
    }
    state.predecessors_stopped = true;
    if (enforces_terms(state)) {
        state.predecessors_end_at =
            now + with_drift(state.options.term, state.options.drift_ppm) + state.options.margin;
    }
}

auto on_records_read(grantor& state, instant started) -> void {
    if (!state.records_current && started >= state.records_needed_since) {
        state.records_current = true;
        state.next_heartbeat_at = std::min(state.next_heartbeat_at, started);
    }
}

auto next_request(grantor& state, const std::vector<granted_shard>& wanted, instant now)
    -> std::optional<grant_request> {
    if (state.superseded || state.outstanding || now < state.next_heartbeat_at) {
        return std::nullopt;
    }
    // A target that does not check epochs would accept grants from two keepers.
    if (!enforces_terms(state) && !state.predecessors_stopped) {
        return std::nullopt;
    }
    auto request = grant_request{.epoch = state.epoch,
                                 .incarnation = state.incarnation,
                                 .nonce = state.records_current ? state.nonce : 0,
                                 .term = state.options.term,
                                 .shards = {}};
    if (request.nonce != 0) {
        request.shards = wanted;
        for (const auto& granted : wanted) {
            auto& end = state.may_hold_until[granted.shard];
            end = std::max(end, latest_term_end(state));
        }
    }
    state.outstanding = request;
    state.outstanding_sent_at = now;
    state.outstanding_term_start = state.nonce_requested_at;
    state.next_heartbeat_at = now + state.options.heartbeat_interval;
    return request;
}

auto on_reply(grantor& state, const grant_reply& reply, instant now) -> void {
    if (!state.outstanding) {
        return;
    }
    const auto request = *std::exchange(state.outstanding, std::nullopt);
    if (reply.result == grant_result::old_epoch) {
        state.superseded = true;
        return;
    }
    if (reply.incarnation != state.incarnation) {
        if (state.incarnation != 0) {
            clear_process_state(state);
        }
        state.records_current = false;
        state.records_needed_since = now;
    }
    if (reply.result == grant_result::accepted && request.nonce != 0) {
        apply_accepted_request(state, request);
    }
    state.incarnation = reply.incarnation;
    state.nonce = reply.nonce;
    state.nonce_requested_at = state.outstanding_sent_at;
    state.nonce_received_at = now;
    state.last_reply_at = now;
    if (state.records_current && (request.nonce == 0 || reply.result != grant_result::accepted)) {
        state.next_heartbeat_at = now;
    }
    enter_phase(state, target_phase::live, now);
}

auto on_no_reply(grantor& state, instant now) -> void {
    state.outstanding.reset();
    on_tick(state, now);
}

auto on_connection_refused(grantor& state, instant now) -> void {
    state.outstanding.reset();
    clear_process_state(state);
    state.records_current = false;
    state.records_needed_since = now;
    enter_phase(state, target_phase::gone, now);
}

auto on_tick(grantor& state, instant now) -> void {
    if (enforces_terms(state)) {
        std::erase_if(state.may_hold_until, [&](const auto& entry) {
            const auto ended = now >= entry.second;
            if (ended) {
                state.clear_proofs[entry.first] = clear_proof::term_ended;
            }
            return ended;
        });
    }
    if (state.phase != target_phase::gone && now - state.last_reply_at >= state.options.silence_limit) {
        enter_phase(state, target_phase::silent, now);
    }
}

auto request_heartbeat(grantor& state, instant now) -> void {
    state.next_heartbeat_at = std::min(state.next_heartbeat_at, now);
}

auto prove_clear(const grantor& state, shard_id shard, std::uint32_t in_flight, instant now)
    -> tl::expected<clear_proof, clear_wait> {
    const auto held = state.may_hold_until.find(shard);
    if (held != state.may_hold_until.end()) {
        if (!enforces_terms(state)) {
            return tl::unexpected(state.phase == target_phase::live ? clear_wait::release
                                                                    : clear_wait::process_end);
        }
        if (now < held->second) {
            return tl::unexpected(state.phase == target_phase::live ? clear_wait::release
                                                                    : clear_wait::term_end);
        }
    }
    if (state.superseded || !are_predecessors_done(state, now)) {
        return tl::unexpected(clear_wait::predecessor);
    }
    // A request in the socket buffer of a target that does not check fences may still be executed.
    if (!enforces_terms(state) && in_flight > 0 && state.phase != target_phase::gone) {
        return tl::unexpected(clear_wait::requests_in_flight);
    }
    if (held != state.may_hold_until.end()) {
        return clear_proof::term_ended;
    }
    const auto reason = state.clear_proofs.find(shard);
    return reason == state.clear_proofs.end() ? clear_proof::never_granted : reason->second;
}

auto serving_until(const grantor& state) -> instant {
    if (state.accepted_term_start == instant{} || state.phase != target_phase::live) {
        return instant{};
    }
    const auto drift = with_drift(state.options.term, state.options.drift_ppm) - state.options.term;
    return state.accepted_term_start + state.options.term - drift;
}

} // namespace teaselcross
