#include "entry/entry_service.h"

#include "core/rendezvous.h"
#include "delivery/operation_id.h"
#include "http/fields.h"
#include "keeper/refusal.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace teaselcross {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr auto stall_timeout = duration{std::chrono::seconds{5}};
constexpr auto route_wait = duration{std::chrono::milliseconds{50}};
constexpr auto longest_request = duration{std::chrono::hours{1}};
constexpr auto refusal_wait = duration{std::chrono::milliseconds{5}};
/// Time that an entry keeps of a request's deadline for its own answer.
constexpr auto answer_reserve = duration{std::chrono::milliseconds{2}};
constexpr auto identity_path = "/.teaselcross/operations/";

auto is_idempotent(http::verb method) -> bool {
    return method == http::verb::get || method == http::verb::head || method == http::verb::options;
}

/// The nth segment of a path, without the query; empty when there is none.
auto path_segment(std::string_view path, std::size_t index) -> std::string_view {
    path = path.substr(0, path.find('?'));
    for (std::size_t position = 0; !path.empty(); ++position) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto segment = path.substr(0, path.find('/'));
        if (position == index) {
            return segment;
        }
        path.remove_prefix(segment.size());
    }
    return {};
}

auto error_answer(const http_request& request, http::status status, const std::string& reason,
                  const std::string& text) -> http_response {
    const auto body = nlohmann::json{{"error", text}, {"reason", reason}, {"outcome", "not-run"}};
    auto answer = json_answer(request, status, body.dump() + "\n");
    answer.set(fields::outcome, "not-run");
    answer.set(fields::reason, reason);
    return answer;
}

auto milliseconds_in(std::string_view text) -> std::optional<duration> {
    auto value = std::int64_t{0};
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || read.ec != std::errc{} || read.ptr != text.data() + text.size() || value <= 0) {
        return std::nullopt;
    }
    constexpr auto longest = std::int64_t{3'600'000};
    return std::chrono::milliseconds{std::min(value, longest)};
}

} // namespace

struct entry_service::caller_request {
    http_request message;
    service_id service;
    service_description described;
    std::string key;
    std::string caller;
    instant arrived{};
    attempt_state attempts;

    std::string operation;          ///< Empty for idempotent requests.
    bool operation_is_ours = false; ///< This entry issued the identity for this request.
    target_id home;                 ///< Of an issued identity.
    bool sent_before = false;
    refusal last_refusal;
};

struct entry_service::chosen_target {
    target_id target;
    std::optional<shard_id> shard;
    instance_id keeper;
    endpoint address; ///< Of the keeper.
};

struct entry_service::attempt_result {
    attempt_end end = attempt_end::not_sent;
    std::optional<open_answer> answer;
    refusal refused;
};

entry_service::entry_service(duty& forward, connection_pool& pool, metrics& measured, std::uint64_t seed)
    : m_forward{forward}, m_pool{pool}, m_measured{measured}, m_next_request{seed << 20U} {
    m_chooser.random.seed(seed);
}

auto entry_service::publish(std::shared_ptr<const routing> routes) -> void {
    m_routes = std::move(routes);
    for (auto& each : m_waiting) {
        each.cancel();
    }
}

auto entry_service::wait_for_routes(duration longest) -> asio::awaitable<void> {
    const auto place =
        m_waiting.emplace(m_waiting.end(), m_forward.context(), std::max(duration{0}, longest));
    // The place is given back also when the request is cancelled.
    const auto given_back = std::shared_ptr<void>{nullptr, [this, place](void*) { m_waiting.erase(place); }};
    co_await place->async_wait(as_result);
}

auto entry_service::keeper_replaced(target_id target, instance_id keeper) -> asio::awaitable<void> {
    while (true) {
        const auto* const present = keeper_of(*m_routes, target);
        if (present != nullptr && present->id != keeper) {
            co_return;
        }
        co_await wait_for_routes(longest_request);
    }
}

auto entry_service::issue_identity(const target_id& home) -> std::string {
    return to_text({.issued = wall_now(), .random = m_chooser.random(), .home = home});
}

auto entry_service::handle(server_connection& from, http_request request) -> asio::awaitable<bool> {
    m_measured.count(counter::requests);
    const auto path = std::string{request.target()};
    if (path.starts_with(identity_path)) {
        co_return co_await answer_issued(from, request);
    }
    auto read = read_request(from, std::move(request));
    if (!read) {
        m_measured.count(counter::bad_requests);
        co_return co_await write_answer(from, std::move(read.error()));
    }
    on_request(m_budget);
    const auto sent = co_await run(from, *read);
    m_measured.time(timing::request, monotonic_now() - read->arrived);
    co_return sent;
}

auto entry_service::read_request(const server_connection& from, http_request request)
    -> tl::expected<caller_request, http_response> {
    if (!m_routes) {
        return tl::unexpected(error_answer(request, http::status::service_unavailable, "no_configuration",
                                           "This instance has not learned the configuration yet."));
    }
    auto made = caller_request{};
    const auto path = std::string_view{request.target().data(), request.target().size()};
    made.service = service_id{std::string{path_segment(path, 0)}};
    const auto found = m_routes->config->services.find(made.service);
    if (found == m_routes->config->services.end()) {
        return tl::unexpected(error_answer(request, http::status::not_found, "unknown_service",
                                           "There is no service '" + made.service.value() + "'."));
    }
    made.described = found->second;
    const auto key = made.described.key == key_source::header
                         ? std::string{request[made.described.key_header]}
                         : std::string{path_segment(path, 1)};
    if (made.described.keyed() && key.empty()) {
        return tl::unexpected(error_answer(request, http::status::bad_request, "no_key",
                                           "A request to this service has to name a key."));
    }
    made.key = key;
    made.arrived = monotonic_now();
    auto left = made.described.default_deadline;
    if (request.count(fields::deadline_ms) > 0) {
        const auto asked = milliseconds_in(std::string_view{request[fields::deadline_ms]});
        if (!asked) {
            return tl::unexpected(error_answer(request, http::status::bad_request, "bad_deadline",
                                               "The deadline has to be a positive number of milliseconds."));
        }
        left = *asked;
    }
    made.attempts.deadline = made.arrived + left;
    made.attempts.repeatable = true;
    made.caller = request.count(fields::caller) > 0 ? std::string{request[fields::caller]} : from.remote;
    if (!is_idempotent(request.method())) {
        made.operation = std::string{request[fields::idempotency_key]};
        made.operation_is_ours = made.operation.empty();
        const auto issued = parse_issued(made.operation);
        if (issued) {
            made.home = issued->home;
        } else if (!made.operation_is_ours && made.described.operations == operation_memory::keeper_only) {
            return tl::unexpected(
                error_answer(request, http::status::bad_request, "identity_not_issued",
                             "This service takes identities that the system has issued only."));
        }
    }
    made.message = std::move(request);
    return made;
}

auto entry_service::choose(caller_request& request, const target_id& avoided)
    -> std::optional<chosen_target> {
    auto chosen = chosen_target{};
    if (request.described.keyed()) {
        const auto route = route_key(*m_routes, request.service, request.key);
        if (!route) {
            return std::nullopt;
        }
        chosen.shard = route->shard;
        chosen.target = request.home.empty() ? route->target : request.home;
        // An identity of our own may still be home elsewhere; a releasing shard has to arrive first.
        if (request.home.empty() && route->state != shard_state::owned) {
            return std::nullopt;
        }
    } else if (!request.home.empty()) {
        chosen.target = request.home;
    } else {
        auto open = open_targets(*m_routes, request.service);
        if (open.size() > 1) {
            std::erase(open, avoided);
        }
        if (open.empty()) {
            return std::nullopt;
        }
        if (!request.operation.empty()) {
            // An identity of the caller's own finds the same memory again.
            const auto item = hash_text(request.operation);
            chosen.target = *std::max_element(open.begin(), open.end(), [&](const auto& a, const auto& b) {
                return rendezvous_weight(item, a.value()) < rendezvous_weight(item, b.value());
            });
        } else {
            chosen.target = *choose_target(m_chooser, open, monotonic_now());
        }
    }
    const auto* const keeper = keeper_of(*m_routes, chosen.target);
    if (keeper == nullptr) {
        return std::nullopt;
    }
    chosen.keeper = keeper->id;
    chosen.address = {keeper->address.host, keeper->address.forward_port};
    return chosen;
}

auto entry_service::prepare(caller_request& request, const chosen_target& chosen) -> http_request {
    auto message = request.message;
    const auto left = request.attempts.deadline - monotonic_now() - answer_reserve;
    const auto left_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(std::max(left, duration{1000}));
    message.set(fields::request_id, std::to_string(m_next_request++));
    message.set(fields::service, request.service.value());
    message.set(fields::target, chosen.target.value());
    message.set(fields::caller, request.caller);
    message.set(fields::deadline_ms, std::to_string(left_ms.count()));
    message.erase(fields::shard);
    message.erase(fields::first_send);
    message.erase(fields::idempotency_key);
    if (chosen.shard) {
        message.set(fields::shard, std::to_string(number(*chosen.shard)));
    }
    if (!request.operation.empty()) {
        message.set(fields::idempotency_key, request.operation);
        if (request.operation_is_ours && !request.sent_before) {
            message.set(fields::first_send, "yes");
        }
        request.sent_before = true;
    }
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

auto entry_service::send(caller_request& request, chosen_target chosen) -> asio::awaitable<attempt_result> {
    auto message = prepare(request, chosen);
    const auto id = std::string{message[fields::request_id]};
    const auto started = monotonic_now();
    const auto left = std::max(duration{1000}, request.attempts.deadline - started);
    auto result = attempt_result{};
    auto good = false;
    on_sent(m_chooser, chosen.target);
    // The observation is made also when this attempt is cancelled because another was faster.
    const auto observed =
        std::shared_ptr<void>{nullptr, [&](void*) {
                                  const auto now = monotonic_now();
                                  on_returned(m_chooser, chosen.target, now - started, good, now);
                              }};
    auto answer = co_await begin_exchange(m_pool, chosen.address, std::move(message),
                                          {.answer_timeout = left, .stall_timeout = stall_timeout});
    if (!answer) {
        result.end = answer.error() == exchange_error::lost ? attempt_end::lost : attempt_end::not_sent;
        result.refused.reason = "keeper_unreachable";
        co_return result;
    }
    const auto header = [&](const char* name) { return std::string{answer->header()[name]}; };
    if (const auto what = value_in<outcome>(outcome_names, header(fields::outcome))) {
        const auto after = milliseconds_in(header(fields::retry_after_ms));
        result.refused = {.what = *what,
                          .reason = header(fields::reason),
                          .text = {},
                          .retry_elsewhere = header(fields::retry_elsewhere) == "yes",
                          .retry_after = after.value_or(duration{0})};
        if (*what == outcome::unknown) {
            // What an idempotent request may have done does no harm.
            result.end = request.operation.empty() ? attempt_end::lost : attempt_end::said_unknown;
        } else {
            result.end = result.refused.retry_elsewhere ? attempt_end::not_run : attempt_end::refused;
        }
        end_exchange(m_pool, std::move(*answer));
        co_return result;
    }
    if (header(fields::request_id) != id) {
        log::error("answer_mismatched", {{"target", chosen.target}, {"request", id}});
        result.end = attempt_end::lost;
        co_return result;
    }
    good = answer->status() < 500;
    if (good && request.described.hedge) {
        on_answered(m_hedgers.at(request.service), monotonic_now() - started);
    }
    result.end = attempt_end::answered;
    result.answer = std::move(*answer);
    co_return result;
}

auto entry_service::send_hedge(caller_request& request, target_id first, duration delay)
    -> asio::awaitable<attempt_result> {
    auto timer = asio::steady_timer{m_forward.context(), delay};
    co_await timer.async_wait(as_result);
    const auto second = choose(request, first);
    if (second && second->target != first && take_hedge(m_hedgers.at(request.service))) {
        m_measured.count(counter::hedges);
        auto result = co_await send(request, *second);
        if (result.end == attempt_end::answered) {
            co_return result;
        }
    }
    // Without a hedge, or with one that failed, the first attempt decides.
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(as_result);
    co_return attempt_result{};
}

auto entry_service::send_once(server_connection& from, caller_request& request, chosen_target chosen)
    -> asio::awaitable<attempt_result> {
    if (!request.operation.empty()) {
        // The caller may leave; the operation goes on, and a repeat finds its answer.
        co_return co_await send(request, chosen);
    }
    auto delay = std::optional<duration>{};
    if (request.described.hedge) {
        auto [hedges, is_new] = m_hedgers.try_emplace(request.service, make_hedger({}));
        delay = hedge_delay(hedges->second);
    }
    const auto ended = [](attempt_end end, const char* reason) {
        return attempt_result{.end = end, .answer = {}, .refused = {.reason = reason}};
    };
    if (delay) {
        auto raced = co_await (send(request, chosen) || send_hedge(request, chosen.target, *delay) ||
                               wait_for_disconnect(from) || keeper_replaced(chosen.target, chosen.keeper));
        switch (raced.index()) {
        case 0:
            co_return std::move(std::get<0>(raced));
        case 1:
            co_return std::move(std::get<1>(raced));
        case 2:
            co_return ended(attempt_end::refused, "caller_gone");
        default:
            co_return ended(attempt_end::lost, "keeper_replaced");
        }
    }
    auto raced = co_await (send(request, chosen) || wait_for_disconnect(from) ||
                           keeper_replaced(chosen.target, chosen.keeper));
    switch (raced.index()) {
    case 0:
        co_return std::move(std::get<0>(raced));
    case 1:
        co_return ended(attempt_end::refused, "caller_gone");
    default:
        co_return ended(attempt_end::lost, "keeper_replaced");
    }
}

auto entry_service::run(server_connection& from, caller_request& request) -> asio::awaitable<bool> {
    auto avoided = target_id{};
    request.last_refusal = {.reason = "no_owner", .retry_after = route_wait};
    while (true) {
        if (request.operation_is_ours && !request.attempts.maybe_run) {
            // Nothing ran under the identity of an earlier attempt, so a new one may be home elsewhere.
            request.operation.clear();
            request.home = {};
        }
        auto chosen = choose(request, avoided);
        auto result =
            attempt_result{.end = attempt_end::not_run, .answer = {}, .refused = request.last_refusal};
        if (chosen) {
            if (request.operation_is_ours && request.operation.empty()) {
                request.operation = issue_identity(chosen->target);
                request.home = chosen->target;
                request.sent_before = false;
            }
            result = co_await send_once(from, request, *chosen);
            avoided = chosen->target;
            request.last_refusal = result.refused;
        }
        auto step = after_attempt(request.attempts, m_budget, result.end, monotonic_now());
        if (step == next_step::try_again && result.end == attempt_end::not_run &&
            !request.operation_is_ours && !request.home.empty() && result.refused.reason == "not_granted") {
            // The identity's home does not own the key any more, so it will never run under it.
            request.last_refusal.reason = "identity_moved";
            step = next_step::answer_not_run;
        }
        if (step == next_step::deliver) {
            co_return co_await deliver(from, request, std::move(*result.answer));
        }
        if (step != next_step::try_again) {
            auto refused = request.last_refusal;
            refused.what = step == next_step::answer_not_run ? outcome::not_run : outcome::unknown;
            refused.retry_elsewhere = false;
            refused.text = refused.what == outcome::not_run ? "The request has not run."
                                                            : "Nobody knows whether the request has run.";
            m_measured.count(refused.what == outcome::not_run ? counter::refused_not_run
                                                              : counter::outcome_unknown);
            co_return co_await write_answer(from, refusal_answer(request.message, refused));
        }
        if (!chosen || result.end == attempt_end::not_sent || request.described.keyed()) {
            const auto left = request.attempts.deadline - monotonic_now();
            co_await wait_for_routes(std::min(route_wait, left));
        } else {
            auto pause = asio::steady_timer{m_forward.context(), refusal_wait};
            co_await pause.async_wait(as_result);
        }
    }
}

auto entry_service::deliver(server_connection& from, caller_request& request, open_answer answer)
    -> asio::awaitable<bool> {
    if (!request.operation.empty()) {
        answer.parser->get().set(fields::idempotency_key, request.operation);
    }
    const auto sent = co_await stream_answer(from, answer, stall_timeout);
    if (sent) {
        m_measured.count(counter::answered);
        end_exchange(m_pool, std::move(answer));
    } else {
        m_measured.count(counter::cut_answers);
    }
    co_return sent;
}

auto entry_service::answer_issued(server_connection& from, const http_request& request)
    -> asio::awaitable<bool> {
    // POST /.teaselcross/operations/SERVICE[/KEY] issues an identity for one operation.
    const auto path = std::string_view{request.target().data(), request.target().size()};
    auto asked = caller_request{};
    asked.service = service_id{std::string{path_segment(path, 2)}};
    asked.key = std::string{path_segment(path, 3)};
    const auto known = m_routes && m_routes->config->services.contains(asked.service);
    if (known) {
        asked.described = m_routes->config->services.at(asked.service);
    }
    const auto chosen = known ? choose(asked, {}) : std::nullopt;
    if (!chosen) {
        co_return co_await write_answer(from, error_answer(request, http::status::not_found, "no_home",
                                                           "There is no target for such an operation now."));
    }
    const auto body = nlohmann::json{{"id", issue_identity(chosen->target)}};
    co_return co_await write_answer(from, json_answer(request, http::status::created, body.dump() + "\n"));
}

} // namespace teaselcross
