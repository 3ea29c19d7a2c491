#pragma once

// What a keeper remembers of the operations that it sent to one target, so that none runs twice.

#include "delivery/operation_id.h"

#include "core/enum_names.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselcross {

/// Where an operation stands. A finished one has its answer recorded; an unknown one may have run; one not
/// run has its intent in the store and may be tried again here.
enum class operation_state { running, finished, unknown, not_run };
constexpr enum_table<operation_state, 4> operation_state_names{"running", "finished", "unknown", "not_run"};

/// A whole answer, kept for repeats.
struct recorded_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;

    auto operator==(const recorded_answer&) const -> bool = default;
};

struct operation_record {
    operation_state state = operation_state::running;
    recorded_answer answer;
    instant finished{};
};

/// What to do with a request that carries an operation identity.
enum class operation_verdict {
    run,            ///< New here and known not to have run elsewhere.
    create_intent,  ///< New here, but an earlier keeper may have run it: the store decides.
    join,           ///< Running now: wait for its answer.
    answer,         ///< Finished: the recorded answer.
    answer_unknown, ///< It may have run; it will not run again.
    refuse_full,    ///< The memory is full of operations that must still be remembered. It has not run.
};

struct operation_options {
    std::size_t max_operations = 20'000;                   ///< Operations remembered.
    std::size_t max_answer_bytes = std::size_t{64} * 1024; ///< Bytes of an answer that is kept.
    duration retention = std::chrono::minutes{15};         ///< How long a finished operation is remembered.
    wall_time clock_skew = std::chrono::milliseconds{500}; ///< Largest difference between two instances.
};

struct operation_table {
    operation_options options;
    wall_time memory_since{};    ///< Issued identities younger than this, plus skew, are all known here.
    bool durable_intents = true; ///< Identities chosen by callers are recorded in the store before they run.
    std::map<std::string, operation_record> records;
    std::deque<std::pair<instant, std::string>> finish_order;
};

/// A table that remembers everything issued since @a memory_since.
auto make_operation_table(const operation_options& options, bool durable_intents, wall_time memory_since)
    -> operation_table;

/// A request for @a id arrives. With `run` and `create_intent` the operation counts as running from here on.
/// @a first_send: an entry has just issued the identity and sends it for the first time.
auto begin_operation(operation_table& state, const std::string& id, bool first_send, instant now,
                     wall_time wall) -> operation_verdict;

/// The operation did not run: no byte of it reached the target, or the target said so. It may be tried again.
/// @a intent_kept: its intent is in the store, so a repeat need not create it.
auto operation_not_run(operation_table& state, const std::string& id, bool intent_kept, instant now) -> void;

/// The operation ran and this is its answer.
auto operation_finished(operation_table& state, const std::string& id, recorded_answer answer, instant now)
    -> void;

/// The operation may have run; nobody knows.
auto operation_lost(operation_table& state, const std::string& id, instant now) -> void;

/// The recorded answer of a finished operation.
/// @pre begin_operation said `answer`.
auto answer_of(const operation_table& state, const std::string& id) -> const recorded_answer&;

} // namespace teaselcross
