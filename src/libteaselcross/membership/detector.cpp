#include "membership/detector.h"

#include <algorithm>
#include <bit>

namespace teaselcross {

namespace {

/// Number of times an update is sent: enough to reach all of the members with high probability.
auto transmission_limit(const detector& state) -> std::uint32_t {
    constexpr auto factor = 3U;
    return factor * static_cast<std::uint32_t>(std::bit_width(state.members.size() + 1));
}

auto queue_update(detector& state, const instance_id& id) -> void {
    std::erase_if(state.updates, [&](const auto& each) { return each.id == id; });
    state.updates.insert(state.updates.begin(), detector::update{.id = id, .transmission_count = 0});
}

auto find_record(const detector& state, const instance_id& id) -> const member* {
    if (id == state.self.id) {
        return &state.self;
    }
    const auto found = state.members.find(id);
    return found == state.members.end() ? nullptr : &found->second;
}

/// The updates for one message, the least sent first.
auto take_updates(detector& state) -> std::vector<member> {
    std::stable_sort(state.updates.begin(), state.updates.end(), [](const auto& a, const auto& b) {
        return a.transmission_count < b.transmission_count;
    });
    auto taken = std::vector<member>{};
    for (auto& each : state.updates) {
        if (taken.size() == state.options.updates_per_message) {
            break;
        }
        if (const auto* const record = find_record(state, each.id)) {
            taken.push_back(*record);
        }
        ++each.transmission_count;
    }
    std::erase_if(state.updates,
                  [&](const auto& each) { return each.transmission_count >= transmission_limit(state); });
    return taken;
}

auto make_message(detector& state, probe_kind kind, std::uint64_t sequence, const instance_id& subject = {})
    -> probe_message {
    return {.kind = kind,
            .sequence = sequence,
            .sender = state.self,
            .subject = subject,
            .updates = take_updates(state)};
}

auto set_record(detector& state, const member& update, instant now, detector_result& result) -> void {
    const auto known = state.members.find(update.id);
    auto previous = std::optional<member_state>{};
    if (known != state.members.end()) {
        previous = known->second.state;
    }
    state.members[update.id] = update;
    const auto set_since = [&](auto& since, bool applies) {
        if (applies) {
            since.emplace(update.id, now);
        } else {
            since.erase(update.id);
        }
    };
    set_since(state.suspect_since, update.state == member_state::suspect);
    set_since(state.inactive_since, update.state >= member_state::dead);
    queue_update(state, update.id);
    if (previous != update.state) {
        result.changes.push_back({.current = update, .previous = previous});
    }
}

/// Applies one update, or refutes it if it concerns this instance.
auto merge(detector& state, const member& update, instant now, detector_result& result) -> void {
    if (update.id == state.self.id) {
        const auto wrong = update.state != state.self.state && update.state != member_state::alive;
        if (update.incarnation > state.self.incarnation ||
            (wrong && update.incarnation == state.self.incarnation)) {
            state.self.incarnation = update.incarnation + 1;
            queue_update(state, state.self.id);
        }
        return;
    }
    const auto known = state.members.find(update.id);
    if (known == state.members.end() || supersedes(update, known->second)) {
        set_record(state, update, now, result);
    }
}

auto mark(detector& state, const instance_id& id, member_state new_state, instant now,
          detector_result& result) -> void {
    const auto known = state.members.find(id);
    if (known == state.members.end() || known->second.state >= new_state) {
        return;
    }
    auto update = known->second;
    update.state = new_state;
    set_record(state, update, now, result);
}

auto next_subject(detector& state) -> std::optional<instance_id> {
    for (auto tries = std::size_t{0}; tries <= state.members.size(); ++tries) {
        if (state.probe_position >= state.probe_order.size()) {
            state.probe_order.clear();
            for (const auto& [id, record] : state.members) {
                if (record.state <= member_state::suspect) {
                    state.probe_order.push_back(id);
                }
            }
            std::shuffle(state.probe_order.begin(), state.probe_order.end(), state.random);
            state.probe_position = 0;
            if (state.probe_order.empty()) {
                return std::nullopt;
            }
        }
        const auto id = state.probe_order[state.probe_position++];
        const auto found = state.members.find(id);
        if (found != state.members.end() && found->second.state <= member_state::suspect) {
            return id;
        }
    }
    return std::nullopt;
}

auto ping(detector& state, const instance_id& subject, detector_result& result) -> std::uint64_t {
    const auto sequence = state.next_sequence++;
    result.outgoing.push_back(
        {state.members.at(subject).address, make_message(state, probe_kind::ping, sequence, subject)});
    return sequence;
}

auto send_ping_requests(detector& state, const detector::probe& probe, detector_result& result) -> void {
    auto helpers = std::vector<instance_id>{};
    for (const auto& [id, record] : state.members) {
        if (record.state == member_state::alive && id != probe.subject) {
            helpers.push_back(id);
        }
    }
    std::shuffle(helpers.begin(), helpers.end(), state.random);
    helpers.resize(std::min<std::size_t>(helpers.size(), state.options.indirect_probe_count));
    for (const auto& id : helpers) {
        result.outgoing.push_back(
            {state.members.at(id).address,
             make_message(state, probe_kind::ping_request, probe.sequence, probe.subject)});
    }
}

auto advance_probe(detector& state, instant now, detector_result& result) -> void {
    auto& current = state.current_probe;
    if (!current) {
        return;
    }
    if (!current->is_indirect && now - current->sent_at >= state.options.direct_timeout) {
        current->is_indirect = true;
        send_ping_requests(state, *current, result);
    }
    if (now - current->sent_at >= 3 * state.options.direct_timeout) {
        mark(state, current->subject, member_state::suspect, now, result);
        current.reset();
    }
}

auto probe_dead_member(detector& state, instant now, detector_result& result) -> void {
    if (now < state.next_dead_probe) {
        return;
    }
    state.next_dead_probe = now + state.options.dead_probe_period;
    auto dead = std::vector<instance_id>{};
    for (const auto& [id, record] : state.members) {
        if (record.state == member_state::dead) {
            dead.push_back(id);
        }
    }
    if (!dead.empty()) {
        const auto& chosen = dead[state.random() % dead.size()];
        // Sends the member its own state, so that it can refute it.
        queue_update(state, chosen);
        ping(state, chosen, result);
    }
}

auto remove_expired_members(detector& state, instant now) -> void {
    std::erase_if(state.inactive_since, [&](const auto& entry) {
        const auto over = now - entry.second >= state.options.forget_after;
        if (over) {
            state.members.erase(entry.first);
        }
        return over;
    });
}

auto answer(detector& state, const probe_message& message, instant now, detector_result& result) -> void {
    if (message.kind == probe_kind::ping) {
        auto reply = make_message(state, probe_kind::ack, message.sequence, state.self.id);
        // The reply tells a sender that believed this member dead that it is alive.
        result.outgoing.push_back({message.sender.address, std::move(reply)});
        return;
    }
    if (message.kind == probe_kind::ping_request) {
        if (state.members.contains(message.subject)) {
            const auto sequence = ping(state, message.subject, result);
            state.relayed_probes.push_back(
                {sequence, message.sequence, message.subject, message.sender.address, now});
        }
        return;
    }
    if (state.current_probe && state.current_probe->sequence == message.sequence) {
        const auto subject = state.current_probe->subject;
        state.current_probe.reset();
        if (subject != message.subject) {
            // Another process has the address, so the previous one has stopped.
            mark(state, subject, member_state::dead, now, result);
        }
    }
    for (const auto& each : state.relayed_probes) {
        if (each.sequence == message.sequence && each.subject == message.subject) {
            result.outgoing.push_back({each.requester, make_message(state, probe_kind::ack,
                                                                    each.requester_sequence, each.subject)});
        }
    }
}

} // namespace

auto make_detector(const member& self, const detector_options& options, std::uint64_t seed) -> detector {
    auto state = detector{};
    state.self = self;
    state.options = options;
    state.random.seed(seed);
    queue_update(state, self.id);
    return state;
}

auto on_tick(detector& state, instant now) -> detector_result {
    auto result = detector_result{};
    advance_probe(state, now, result);
    auto overdue = std::vector<instance_id>{};
    for (const auto& [id, since] : state.suspect_since) {
        if (now - since >= state.options.suspicion_timeout) {
            overdue.push_back(id);
        }
    }
    for (const auto& id : overdue) {
        mark(state, id, member_state::dead, now, result);
    }
    std::erase_if(state.relayed_probes,
                  [&](const auto& each) { return now - each.sent_at > 3 * state.options.direct_timeout; });
    if (now >= state.next_probe_at && !state.current_probe) {
        state.next_probe_at = now + state.options.probe_period;
        if (const auto subject = next_subject(state)) {
            const auto sequence = ping(state, *subject, result);
            state.current_probe = detector::probe{.subject = *subject, .sequence = sequence, .sent_at = now};
        }
    }
    probe_dead_member(state, now, result);
    remove_expired_members(state, now);
    return result;
}

auto on_message(detector& state, const probe_message& message, instant now) -> detector_result {
    auto result = detector_result{};
    const auto known = state.members.find(message.sender.id);
    // A sender recorded as suspect or dead learns this from the answer and refutes it.
    if (known != state.members.end() && known->second.state != member_state::alive &&
        known->second.incarnation >= message.sender.incarnation) {
        queue_update(state, message.sender.id);
    }
    merge(state, message.sender, now, result);
    for (const auto& update : message.updates) {
        merge(state, update, now, result);
    }
    answer(state, message, now, result);
    return result;
}

auto on_refused(detector& state, const instance_id& id, instant now) -> detector_result {
    auto result = detector_result{};
    mark(state, id, member_state::suspect, now, result);
    if (state.current_probe && state.current_probe->subject == id) {
        state.current_probe.reset();
    }
    return result;
}

auto on_members(detector& state, const std::vector<member>& learned, instant now) -> detector_result {
    auto result = detector_result{};
    for (const auto& update : learned) {
        merge(state, update, now, result);
    }
    return result;
}

auto on_removed(detector& state, const instance_id& id) -> detector_result {
    auto result = detector_result{};
    const auto known = state.members.find(id);
    if (known != state.members.end()) {
        auto gone = known->second;
        const auto previous = gone.state;
        gone.state = member_state::dead;
        state.members.erase(known);
        state.suspect_since.erase(id);
        result.changes.push_back({.current = gone, .previous = previous});
    }
    return result;
}

auto set_config_version(detector& state, std::uint64_t version) -> void {
    if (state.self.config_version != version) {
        state.self.config_version = version;
        queue_update(state, state.self.id);
    }
}

auto leave(detector& state) -> detector_result {
    auto result = detector_result{};
    state.self.state = member_state::left;
    queue_update(state, state.self.id);
    constexpr auto notified_count = std::size_t{6};
    for (auto count = std::size_t{0}; count < notified_count; ++count) {
        if (const auto subject = next_subject(state)) {
            ping(state, *subject, result);
        }
    }
    return result;
}

auto live_members(const detector& state, const data_centre_id& data_centre) -> std::vector<instance_id> {
    auto live = std::vector<instance_id>{};
    if (state.self.data_centre == data_centre && state.self.state == member_state::alive) {
        live.push_back(state.self.id);
    }
    for (const auto& [id, record] : state.members) {
        if (record.data_centre == data_centre && record.state <= member_state::suspect) {
            live.push_back(id);
        }
    }
    return live;
}

} // namespace teaselcross
