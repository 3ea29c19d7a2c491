#pragma once

// A keeper's records of the operations that it sent to one target, so that none runs twice.

#include "delivery/operation_id.h"

#include "core/enum_names.h"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselcross {

/// State of an operation. `finished`: its answer is recorded. `unknown`: it may have run. `not_run`: its
/// intent is in the store and it may be retried here.
enum class operation_state { running, finished, unknown, not_run };
constexpr enum_table<operation_state, 4> operation_state_names{"running", "finished", "unknown", "not_run"};

/// A complete answer, kept for repeated requests.
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
    run,            ///< Not recorded here and known not to have run elsewhere.
    create_intent,  ///< Not recorded here, but an earlier keeper may have run it: the store decides.
    join,           ///< Running: wait for its answer.
    answer,         ///< Finished: send the recorded answer.
    answer_unknown, ///< It may have run and is not run again.
    refuse_full,    ///< The table is full of records that must still be kept. It has not run.
};

struct operation_options {
    std::size_t max_operations = 20'000;                   ///< Maximum number of records.
    std::size_t max_answer_bytes = std::size_t{64} * 1024; ///< Maximum body size of a recorded answer.
    duration retention = std::chrono::minutes{15}; ///< How long the record of an ended operation is kept.
    wall_time clock_skew =
        std::chrono::milliseconds{500}; ///< Largest clock difference between two instances.
};

struct operation_table {
    operation_options options;
    wall_time memory_since{};    ///< All identities issued later than this plus the skew are known here.
    bool durable_intents = true; ///< Identities chosen by callers are recorded in the store before they run.
    std::map<std::string, operation_record> records;
    std::deque<std::pair<instant, std::string>> finish_order; ///< Ended operations, oldest first.
};

/// Creates a table that knows all operations issued since @a memory_since.
auto make_operation_table(const operation_options& options, bool durable_intents, wall_time memory_since)
    -> operation_table;

/// Handles a request for @a id. After `run` and `create_intent` the operation counts as running.
/// @a first_send: the entry has just issued the identity and sends it for the first time.
auto begin_operation(operation_table& state, const std::string& id, bool first_send, instant now,
                     wall_time wall) -> operation_verdict;

/// Records that the operation did not run: no byte of it reached the target, or the target reported so. It
/// may be retried. @a intent_kept: its intent is in the store, so a repeat need not create it.
auto operation_not_run(operation_table& state, const std::string& id, bool intent_kept, instant now) -> void;

/// Records the answer of the operation.
auto operation_finished(operation_table& state, const std::string& id, recorded_answer answer, instant now)
    -> void;

/// Records that it is unknown whether the operation ran.
auto operation_lost(operation_table& state, const std::string& id, instant now) -> void;

/// Returns the recorded answer of a finished operation.
/// @pre begin_operation() returned `answer` for @a id.
auto answer_of(const operation_table& state, const std::string& id) -> const recorded_answer&;

} // namespace teaselcross
