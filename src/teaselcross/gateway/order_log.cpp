#include "gateway/order_log.h"

#include "logging/log.h"

namespace teaselcross {

namespace {

/// Renewals that take longer are logged although they were answered.
constexpr auto slow_answer = duration{std::chrono::milliseconds{250}};

} // namespace

auto log_order(const service_id& service, const holder_command& order, const holder_answer& answer,
               instant decided, instant now) -> void {
    const auto result = answer.result;
    const auto sent = answer.sent;
    const auto is_renewal = order.kind == command_kind::grant && !order.is_first;
    if (is_renewal && result == command_result::done && now - sent <= slow_answer) {
        return;
    }
    const auto answered_at = order.earlier_answered_at;
    const auto answered_ms = answered_at == instant{} ? -1 : (sent - answered_at).count() / 1000;
    log::info("key_order", {{"kind", name_in(command_kind_names, order.kind)},
                            {"service", service},
                            {"target", order.to.id},
                            {"birth", order.to.start_time_ms},
                            {"first", order.first},
                            {"last", order.last},
                            {"fence", order.fence},
                            {"hold_ms", order.term.count() / 1000},
                            {"earlier", order.earlier_holder.id},
                            {"earlier_birth", order.earlier_holder.start_time_ms},
                            {"earlier_answered_ms", answered_ms},
                            {"proof", name_in(move_proof_names, order.proof)},
                            {"result", name_in(command_result_names, result)},
                            {"reason", name_in(not_sent_reason_names, answer.not_sent)},
                            {"ms", (now - sent).count() / 1000},
                            {"since_decision_ms", (now - decided).count() / 1000}});
}

auto log_overdue_answer(const service_id& service, const holder_command& order, command_result result,
                        instant sent, instant now, bool is_awaited) -> void {
    log::info("overdue_answer", {{"service", service},
                                 {"target", order.to.id},
                                 {"birth", order.to.start_time_ms},
                                 {"first", order.first},
                                 {"last", order.last},
                                 {"fence", order.fence},
                                 {"result", name_in(command_result_names, result)},
                                 {"awaited", is_awaited},
                                 {"ms", (now - sent).count() / 1000}});
}

} // namespace teaselcross
