#include "delivery/attempt.h"

#include <algorithm>

namespace teaselcross {

namespace {

auto give_up(const attempt_state& state) -> next_step {
    return state.may_have_run ? next_step::answer_unknown : next_step::answer_not_run;
}

auto after_possible_run(attempt_state& state, retry_token_bucket& budget, instant now) -> next_step {
    state.may_have_run = true;
    ++state.lost_attempts;
    const auto retries = state.repeatable && state.lost_attempts < max_lost_attempts &&
                         now < state.deadline && take_retry(budget);
    return retries ? next_step::try_again : next_step::answer_unknown;
}

} // namespace

auto on_request(retry_token_bucket& budget) -> void {
    budget.tokens = std::min(budget.max_tokens, budget.tokens + budget.tokens_per_request);
}

auto take_retry(retry_token_bucket& budget) -> bool {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

auto after_attempt(attempt_state& state, retry_token_bucket& budget, attempt_end end, instant now)
    -> next_step {
    switch (end) {
    case attempt_end::answered:
        return next_step::deliver;
    case attempt_end::not_sent:
    case attempt_end::not_run:
        return now < state.deadline ? next_step::try_again : give_up(state);
    case attempt_end::refused:
        return give_up(state);
    case attempt_end::reported_unknown:
        // The keeper has recorded the operation by its identity; a retry would get the same answer.
        state.may_have_run = true;
        return next_step::answer_unknown;
    case attempt_end::lost:
        break;
    }
    return after_possible_run(state, budget, now);
}

} // namespace teaselcross
