#include "support/delivery_world.h"

#include "delivery/operation_id.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace teaselcross::test {

namespace {

constexpr auto tries = std::size_t{3};

auto end_try(operation_try& each, try_state state) -> void {
    each.state = each.abandoned ? try_state::said_unknown : state;
}

/// Those who joined get what the keeper now knows.
auto wake_joined(delivery_world& world, std::size_t keeper) -> void {
    for (auto& each : world.tries) {
        if (each.state != try_state::joined || each.keeper != keeper) {
            continue;
        }
        const auto& records = world.keepers[keeper].operations.records;
        const auto found = records.find(world.identity);
        const auto finished = found != records.end() && found->second.state == operation_state::finished;
        end_try(each, finished ? try_state::answered : try_state::said_unknown);
    }
}

auto say_not_run(delivery_world& world, operation_try& each, bool intent_kept) -> void {
    operation_not_run(world.keepers[each.keeper].operations, world.identity, intent_kept, world.now);
    end_try(each, each.maybe_run ? try_state::said_unknown : try_state::said_not_run);
    wake_joined(world, each.keeper);
}

auto arrive_at_keeper(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    auto& keeper = world.keepers[each.keeper];
    auto verdict = begin_operation(keeper.operations, world.identity, each.first_send, world.now, world.wall);
    if (world.options.planted == delivery_mutation::successor_trusts_memory &&
        verdict == operation_verdict::answer_unknown && !keeper.operations.records.contains(world.identity)) {
        keeper.operations.records[world.identity] = {};
        verdict = operation_verdict::run;
    }
    switch (verdict) {
    case operation_verdict::run:
        each.state = try_state::to_target;
        break;
    case operation_verdict::create_intent:
        each.state = try_state::intent_wanted;
        break;
    case operation_verdict::join:
        each.state = try_state::joined;
        break;
    case operation_verdict::answer:
        end_try(each, try_state::answered);
        break;
    case operation_verdict::answer_unknown:
        end_try(each, try_state::said_unknown);
        break;
    case operation_verdict::refuse_full:
        end_try(each, each.maybe_run ? try_state::said_unknown : try_state::said_not_run);
        break;
    }
}

auto create_intent(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    const auto taken = world.intent.has_value();
    if (taken && world.options.planted != delivery_mutation::intent_not_checked) {
        operation_lost(world.keepers[each.keeper].operations, world.identity, world.now);
        end_try(each, try_state::said_unknown);
        wake_joined(world, each.keeper);
        return;
    }
    world.intent = each.keeper;
    each.state = try_state::to_target;
}

auto arrive_at_target(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    if (world.target_fenced && each.keeper == 0) {
        // The keeper is told that it did not run, if it is still there to hear it.
        if (world.keepers[each.keeper].at_work) {
            say_not_run(world, each, world.intent.has_value());
        } else {
            end_try(each, try_state::said_unknown);
        }
        return;
    }
    ++world.runs;
    each.state = try_state::at_target;
}

auto answer_arrives(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    auto& keeper = world.keepers[each.keeper];
    if (!keeper.at_work) {
        end_try(each, try_state::said_unknown);
        return;
    }
    operation_finished(keeper.operations, world.identity, {.status = 200}, world.now);
    end_try(each, try_state::answered);
    wake_joined(world, each.keeper);
}

/// The connection between keeper and target breaks while the request or its answer is on its way.
auto answer_lost(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    auto& keeper = world.keepers[each.keeper];
    --world.losses_left;
    switch (world.options.planted) {
    case delivery_mutation::lost_is_not_run:
        say_not_run(world, each, world.intent.has_value());
        return;
    case delivery_mutation::sent_again:
        each.state = try_state::to_target;
        return;
    default:
        break;
    }
    if (keeper.at_work) {
        operation_lost(keeper.operations, world.identity, world.now);
        wake_joined(world, each.keeper);
    }
    end_try(each, try_state::said_unknown);
}

/// The entry loses the keeper and sends the same identity again, as after_attempt allows.
auto entry_repeats(delivery_world& world, std::size_t index) -> void {
    auto& each = world.tries[index];
    --world.losses_left;
    auto budget = retry_token_bucket{};
    auto attempts = attempt_state{
        .repeatable = true, .may_have_run = each.maybe_run, .deadline = world.now + std::chrono::seconds{1}};
    if (after_attempt(attempts, budget, attempt_end::lost, world.now) != next_step::try_again) {
        return;
    }
    // The first try goes on without anybody who listens.
    auto left_behind = each;
    left_behind.abandoned = true;
    world.tries.push_back(left_behind);
    auto& again = world.tries[index];
    again = {.state = try_state::to_keeper, .keeper = world.delegate, .first_send = false, .maybe_run = true};
}

/// The second keeper takes over: the first is gone, or fenced at the target and unaware of it.
auto succeed(delivery_world& world, bool first_is_gone) -> void {
    world.succeeded = true;
    world.wall += wall_time{2000};
    auto& first = world.keepers[0];
    auto& second = world.keepers[1];
    second.at_work = true;
    second.operations = make_operation_table({}, !world.options.issued_identity, world.wall);
    world.target_fenced = true;
    world.delegate = 1;
    first.at_work = first.at_work && !first_is_gone;
}

auto hand_over(delivery_world& world) -> void {
    succeed(world, true);
    auto& second = world.keepers[1].operations;
    second.memory_since = world.keepers[0].operations.memory_since;
    for (const auto& [id, record] : world.keepers[0].operations.records) {
        if (record.state == operation_state::finished) {
            operation_finished(second, id, record.answer, world.now);
        } else if (record.state == operation_state::not_run) {
            operation_not_run(second, id, true, world.now);
        } else {
            operation_lost(second, id, world.now);
        }
    }
}

auto nothing_in_flight(const delivery_world& world) -> bool {
    return std::none_of(world.tries.begin(), world.tries.end(), [](const auto& each) {
        return each.keeper == 0 && each.state >= try_state::intent_wanted && each.state <= try_state::joined;
    });
}

auto add_try_steps(const delivery_world& world, std::size_t index, std::vector<delivery_step>& steps)
    -> void {
    const auto& each = world.tries[index];
    const auto name = std::to_string(index);
    const auto add = [&](const std::string& what, void (*step)(delivery_world&, std::size_t)) {
        steps.push_back({what + name, [index, step](auto& next) { step(next, index); }});
    };
    const auto works = world.keepers[each.keeper].at_work;
    switch (each.state) {
    case try_state::not_made:
        if (world.options.issued_by_entry && index > 0 && world.tries[0].state < try_state::answered) {
            break; // Nobody but the entry knows the identity.
        }
        steps.push_back({"send" + name, [index](auto& next) {
                             // An entry flags only an identity that it has just issued for this very request.
                             next.tries[index] = {.state = try_state::to_keeper,
                                                  .keeper = next.delegate,
                                                  .first_send = next.options.issued_by_entry && index == 0};
                         }});
        break;
    case try_state::to_keeper:
        if (works) {
            add("arrive", arrive_at_keeper);
        } else {
            // A refused connection: nothing was sent.
            steps.push_back({"refused" + name, [index](auto& next) {
                                 auto& refused = next.tries[index];
                                 refused.keeper = next.delegate;
                                 // A copy that its entry has given up goes down with its connection.
                                 if (refused.abandoned) {
                                     refused.state = try_state::said_unknown;
                                 }
                             }});
        }
        break;
    case try_state::intent_wanted:
        if (works) {
            add("intent", create_intent);
        }
        break;
    case try_state::to_target:
        add("run", arrive_at_target);
        break;
    case try_state::at_target:
        add("answer", answer_arrives);
        break;
    default:
        break;
    }
    const auto at_keeper = each.state == try_state::to_target || each.state == try_state::at_target;
    if (at_keeper && world.losses_left > 0) {
        add("lose", answer_lost);
    }
    const auto waiting = each.state >= try_state::to_keeper && each.state <= try_state::joined;
    if (waiting && !each.abandoned && (world.losses_left > 0 || !works)) {
        add("entry_repeats", entry_repeats);
    }
}

auto fingerprint(const delivery_world& world) -> std::string {
    auto text = std::ostringstream{};
    for (const auto& each : world.tries) {
        text << static_cast<int>(each.state) << each.keeper << each.first_send << each.abandoned
             << each.maybe_run << ' ';
    }
    for (const auto& keeper : world.keepers) {
        text << '|' << keeper.at_work;
        for (const auto& [id, record] : keeper.operations.records) {
            text << static_cast<int>(record.state);
        }
    }
    text << '|' << world.delegate << world.target_fenced << world.intent.has_value() << world.runs
         << std::max(0, world.losses_left) << world.succeeded;
    return text.str();
}

} // namespace

auto make_delivery_world(const delivery_options& options) -> delivery_world {
    auto world = delivery_world{};
    world.options = options;
    world.identity = options.issued_identity
                         ? to_text({.issued = world.wall, .random = 7, .home = target_id{"t0"}})
                         : "chosen-by-the-caller";
    world.tries.resize(tries);
    world.keepers.resize(2);
    world.keepers[0].operations = make_operation_table({}, !options.issued_identity, wall_time{0});
    world.keepers[1].at_work = false;
    return world;
}

auto possible_steps(const delivery_world& world) -> std::vector<delivery_step> {
    auto steps = std::vector<delivery_step>{};
    for (std::size_t index = 0; index < world.tries.size(); ++index) {
        add_try_steps(world, index, steps);
    }
    if (!world.succeeded) {
        steps.push_back({"keeper_lost", [](auto& next) { succeed(next, true); }});
        steps.push_back({"keeper_fenced", [](auto& next) { succeed(next, false); }});
        if (world.options.handed_over && nothing_in_flight(world)) {
            steps.push_back({"handed_over", [](auto& next) { hand_over(next); }});
        }
    }
    return steps;
}

auto broken_promise(const delivery_world& world) -> std::string {
    if (world.runs > 1) {
        return "the operation ran " + std::to_string(world.runs) + " times";
    }
    // "Not run" is about one try; it is false when no other try can have been the one that ran.
    const auto others = std::count_if(world.tries.begin(), world.tries.end(), [](const auto& each) {
        return each.state != try_state::not_made && each.state != try_state::said_not_run;
    });
    const auto refused = std::count_if(world.tries.begin(), world.tries.end(), [](const auto& each) {
        return each.state == try_state::said_not_run;
    });
    if (world.runs > 0 && refused > 0 && others == 0) {
        return "a false 'not run'";
    }
    return {};
}

auto explore(const delivery_options& options) -> delivery_exploration {
    auto result = delivery_exploration{};
    auto seen = std::set<std::string>{};
    auto open = std::vector<std::pair<delivery_world, std::string>>{{make_delivery_world(options), ""}};
    while (!open.empty() && result.broken.empty()) {
        auto [world, path] = std::move(open.back());
        open.pop_back();
        if (!seen.insert(fingerprint(world)).second) {
            continue;
        }
        for (const auto& step : possible_steps(world)) {
            auto next = world;
            step.take(next);
            auto next_path = path + " " + step.name;
            if (const auto broken = broken_promise(next); !broken.empty()) {
                result.broken = broken + ":" + next_path;
                break;
            }
            open.emplace_back(std::move(next), std::move(next_path));
        }
    }
    result.states = seen.size();
    return result;
}

} // namespace teaselcross::test
