#include "delivery/operation_table.h"

namespace teaselcross {

namespace {

/// Removes the records of operations that ended before the retention time; no repeat of them is expected.
auto expire(operation_table& state, instant now, wall_time wall) -> void {
    while (!state.finish_order.empty() && now - state.finish_order.front().first >= state.options.retention) {
        const auto& [finished, id] = state.finish_order.front();
        const auto record = state.records.find(id);
        // An operation that was retried has another, later entry.
        if (record != state.records.end() && record->second.state != operation_state::running &&
            record->second.finished == finished) {
            state.records.erase(record);
        }
        state.finish_order.pop_front();
        // From now on, an identity issued before the retention time may have lost its record.
        const auto retention = std::chrono::duration_cast<wall_time>(state.options.retention);
        state.memory_since = std::max(state.memory_since, wall - retention);
    }
}

/// Whether an operation without a record is known never to have been started.
auto is_known_new(const operation_table& state, const std::string& id) -> bool {
    const auto issued = parse_issued(id);
    return issued && issued->issued > state.memory_since + state.options.clock_skew;
}

auto record_end(operation_table& state, const std::string& id, operation_record record, instant now) -> void {
    record.finished = now;
    state.records[id] = std::move(record);
    state.finish_order.emplace_back(now, id);
}

} // namespace

auto make_operation_table(const operation_options& options, bool durable_intents, wall_time memory_since)
    -> operation_table {
    auto state = operation_table{};
    state.options = options;
    state.durable_intents = durable_intents;
    state.memory_since = memory_since;
    return state;
}

auto begin_operation(operation_table& state, const std::string& id, bool first_send, instant now,
                     wall_time wall) -> operation_verdict {
    expire(state, now, wall);
    const auto found = state.records.find(id);
    if (found != state.records.end()) {
        switch (found->second.state) {
        case operation_state::running:
            return operation_verdict::join;
        case operation_state::finished:
            return operation_verdict::answer;
        case operation_state::not_run:
            found->second.state = operation_state::running;
            return operation_verdict::run;
        case operation_state::unknown:
            break;
        }
        return operation_verdict::answer_unknown;
    }
    const auto chosen_by_caller = !parse_issued(id).has_value();
    const auto is_new = is_known_new(state, id) || (first_send && !chosen_by_caller);
    if (!is_new && !(state.durable_intents && chosen_by_caller)) {
        return operation_verdict::answer_unknown;
    }
    if (state.records.size() >= state.options.max_operations) {
        return operation_verdict::refuse_full;
    }
    state.records[id] = {.state = operation_state::running, .answer = {}, .finished = {}};
    return is_new ? operation_verdict::run : operation_verdict::create_intent;
}

auto operation_not_run(operation_table& state, const std::string& id, bool intent_kept, instant now) -> void {
    if (intent_kept) {
        record_end(state, id, {.state = operation_state::not_run, .answer = {}, .finished = {}}, now);
    } else {
        state.records.erase(id);
    }
}

auto operation_finished(operation_table& state, const std::string& id, recorded_answer answer, instant now)
    -> void {
    if (answer.body.size() > state.options.max_answer_bytes) {
        // The answer is too large to record: a repeat gets `answer_unknown`.
        record_end(state, id, {.state = operation_state::unknown, .answer = {}, .finished = {}}, now);
        return;
    }
    record_end(state, id, {.state = operation_state::finished, .answer = std::move(answer), .finished = {}},
               now);
}

auto operation_lost(operation_table& state, const std::string& id, instant now) -> void {
    record_end(state, id, {.state = operation_state::unknown, .answer = {}, .finished = {}}, now);
}

auto answer_of(const operation_table& state, const std::string& id) -> const recorded_answer& {
    return state.records.at(id).answer;
}

} // namespace teaselcross
