#include "targets.h"

#include "accounts.h"
#include "platform/names.h"
#include "platform/store.h"
#include "runtime/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

namespace teaselcross::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;
using json = nlohmann::json;

namespace {

/// A target's clock may run slow, so a grant holds for longer than it says.
constexpr auto slow_clock = 1.02;
/// Time after which a data centre that is out of service gets no requests, as the settings have it.
constexpr auto evacuation_bound = duration{std::chrono::seconds{5}};
/// Requests that were sent before their sender knew of a leaving target may be held up for so long.
constexpr auto most_held_up = duration{std::chrono::seconds{1}};
constexpr auto work_poll = duration{std::chrono::milliseconds{2}};

auto pause(asio::io_context& context, duration period) -> asio::awaitable<void> {
    auto timer = asio::steady_timer{context, period};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto key_of(const http_request& request) -> std::optional<shard_key> {
    const auto text = request[names::shard_key];
    auto key = shard_key{0};
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), key);
    return error == std::errc{} && !text.empty() ? std::optional{key} : std::nullopt;
}

} // namespace

target::target(target_group& group, target_options options) : m_group{group}, m_options{std::move(options)} {}

auto target::start() -> void {
    ++m_life;
    m_birth = static_cast<std::uint64_t>(wall_now().count());
    m_sequence = 0;
    m_grants.clear();
    m_keys_at_work.clear();
    m_fences.assign(last_shard_key + 1, 0);
    m_informed.clear();
    m_running = m_waiting = 0;
    m_leaving_since.reset();
    m_up = true;
    m_is_suspended = false;
    m_started_at = monotonic_now();
    if (m_server) {
        m_past_servers.push_back(std::move(m_server)); // Its last handlers may still run.
    }
    m_server = std::make_unique<http_server>(
        m_group.context().get_executor(),
        server_options{.host = m_options.own.host, .port = m_options.own.port, .sets_outcome_header = false},
        [this](responder& from, http_request request) { return handle(from, std::move(request)); });
    m_server->start();
    announce();
}

auto target::crash() -> void {
    m_up = false;
    m_grants.clear();
    m_server->abort();
}

auto target::drain() -> void {
    m_leaving_since = monotonic_now();
    announce();
}

auto target::note_informed_instances() -> void {
    const auto& seen = m_group.seen();
    for (std::size_t index = 0; index < seen.lives.size() && m_leaving_since; ++index) {
        if (seen.in_touch_from[index] <= monotonic_now()) {
            m_informed.emplace(index, seen.lives[index]);
        }
    }
}

auto target::highest_fence(shard_key first, shard_key last) const -> std::uint64_t {
    return *std::max_element(m_all_fences.begin() + first, m_all_fences.begin() + last + 1);
}

auto target::works_on(shard_key first, shard_key last, instant now) const -> bool {
    const auto end = m_keys_at_work.upper_bound(last);
    return m_up && std::any_of(m_keys_at_work.lower_bound(first), end,
                               [&](const auto& each) { return now < each.second.held_until; });
}

auto target::announce() -> void {
    ++m_sequence;
    auto entry =
        nlohmann::json{{"service", m_options.service},
                       {"address", m_options.listed.host + ":" + std::to_string(m_options.listed.port)},
                       {"zone", m_options.data_centre},
                       {"version", "v1"},
                       {"slots", m_options.slots},
                       {"state", m_leaving_since ? "draining" : "ready"},
                       {"cold-remaining-s", 0},
                       {"born", m_birth}};
    if (m_options.announces_changes_only && entry == m_announced &&
        !m_group.registry().spec(std::string{platform::kinds::targets} + "/" + m_options.id).is_null()) {
        return;
    }
    m_announced = entry;
    entry["sequence"] = m_sequence;
    m_group.registry().put(platform::kinds::targets, m_options.id, std::move(entry));
}

auto target::holds(shard_key first, shard_key last, instant now, bool excused_too) const -> bool {
    return m_up && std::any_of(m_grants.begin(), m_grants.end(), [&](const auto& each) {
               return now < each.until && (excused_too || !each.excused) && each.first <= last &&
                      first <= each.last;
           });
}

auto target::shared_range(const target& other, instant now) const -> std::optional<std::string> {
    const auto counts = [now](const grant& each) {
        return now < each.until && (!each.excused || each.was_taken_late);
    };
    for (const auto& own : m_grants) {
        for (const auto& theirs : other.m_grants) {
            const auto first = std::max(own.first, theirs.first);
            const auto last = std::min(own.last, theirs.last);
            if (m_up && other.m_up && counts(own) && counts(theirs) && first <= last) {
                return std::to_string(first) + "-" + std::to_string(last) + " with fences " +
                       std::to_string(own.fence) + " and " + std::to_string(theirs.fence) + "; " +
                       describe(own, now) + "; " + other.describe(theirs, now);
            }
        }
    }
    return std::nullopt;
}

auto target::held_until(shard_key key) const -> instant {
    auto until = instant{};
    for (const auto& each : m_grants) {
        if (each.first <= key && key <= each.last) {
            until = std::max(until, each.until);
        }
    }
    return until;
}

auto target::add_load(http_response& answer) -> void {
    answer.set(names::load, std::to_string(m_running) + "," + std::to_string(m_waiting) + "," +
                                std::to_string(m_options.slots) + "," +
                                std::to_string(static_cast<int>(m_slowness * 100)));
}

auto target::refusal(const http_request& request, http::status status) -> http_response {
    auto answer = http_response{status, 11};
    answer.set(names::attempt_id, request[names::attempt_id]);
    answer.set(names::not_executed, "1");
    answer.set(names::answering_target, m_options.id);
    add_load(answer);
    answer.prepare_payload();
    return answer;
}

auto target::handle(responder& from, http_request request) -> asio::awaitable<bool> {
    const auto life = m_life;
    const auto delay = draw_read_delay();
    auto how = reading{.arrived_at = monotonic_now(), .is_late = m_is_suspended || delay > duration::zero()};
    if (delay > duration::zero()) {
        co_await pause(m_group.context(), delay);
    }
    while (m_is_suspended && m_life == life) {
        co_await pause(m_group.context(), work_poll);
    }
    if (!m_up || m_life != life) {
        co_return false;
    }
    const auto expected = request[names::expected_target];
    if (!expected.empty() && expected != m_options.id) {
        co_return co_await write_answer(from, refusal(request, http::status::misdirected_request));
    }
    const auto path = std::string{request.target()};
    const auto is_order = path == names::grant_path || path == names::release_path;
    const auto carried_out_after = is_order ? draw_order_delay() : std::nullopt;
    if (carried_out_after) {
        how.is_late = how.is_carried_out_late = true;
        co_await pause(m_group.context(), *carried_out_after);
        if (m_up && m_life == life && path == names::grant_path) {
            take_grant(request, how);
        } else if (m_up && m_life == life) {
            static_cast<void>(co_await release(request));
        }
        co_return false;
    }
    if (path == names::grant_path) {
        co_return co_await write_answer(from, take_grant(request, how));
    }
    if (path == names::release_path) {
        auto answer = co_await release(request);
        co_return co_await write_answer(from, std::move(answer));
    }
    co_return co_await work(from, request, how.is_late);
}

auto target::drop_overlap(shard_key first, shard_key last, std::uint64_t most_fence) -> void {
    auto kept = std::vector<grant>{};
    for (const auto& each : m_grants) {
        if (each.fence > most_fence || each.last < first || last < each.first) {
            kept.push_back(each);
            continue;
        }
        if (each.first < first) {
            kept.push_back({.first = each.first,
                            .last = first - 1,
                            .fence = each.fence,
                            .until = each.until,
                            .late_by = each.late_by,
                            .read_at = each.read_at,
                            .is_of_earlier_process = each.is_of_earlier_process});
        }
        if (each.last > last) {
            kept.push_back({.first = last + 1,
                            .last = each.last,
                            .fence = each.fence,
                            .until = each.until,
                            .late_by = each.late_by,
                            .read_at = each.read_at,
                            .is_of_earlier_process = each.is_of_earlier_process});
        }
    }
    m_grants = std::move(kept);
}

auto target::take_grant(const http_request& request, const reading& how) -> http_response {
    const auto body = json::parse(request.body(), nullptr, false);
    const auto first = body.at("from").get<shard_key>();
    const auto last = body.at("to").get<shard_key>();
    const auto fence = body.at("fence").get<std::uint64_t>();
    const auto now = monotonic_now();
    if (*std::max_element(m_fences.begin() + first, m_fences.begin() + last + 1) > fence) {
        return json_answer(request, http::status::conflict, "{}");
    }
    std::fill(m_fences.begin() + first, m_fences.begin() + last + 1, fence);
    const auto first_life = m_fence_lives.emplace(fence, m_life).first->second;
    const auto excused = now < m_group.seen().late_orders_until;
    if (!excused && !how.is_late) {
        const auto harm = m_group.harm_of_grant(*this, first, last, fence, now);
        if (!harm.empty()) {
            report_broken(m_group.seen(), "one owner",
                          m_options.id + " was granted " + std::to_string(first) + "-" +
                              std::to_string(last) + " with fence " + std::to_string(fence) + ":" + harm);
        }
        std::for_each(m_all_fences.begin() + first, m_all_fences.begin() + last + 1,
                      [&](auto& each) { each = std::max(each, fence); });
    }
    drop_overlap(first, last, fence);
    const auto hold = std::chrono::duration<double>(body.at("hold-s").get<double>() * slow_clock);
    m_grants.push_back({.first = first,
                        .last = last,
                        .fence = fence,
                        .until = (how.is_carried_out_late ? how.arrived_at : now) +
                                 std::chrono::duration_cast<duration>(hold),
                        .excused = excused || how.is_late,
                        .was_taken_late = how.is_late && !excused,
                        .late_by = now - how.arrived_at,
                        .read_at = now,
                        .is_of_earlier_process = first_life < m_life});
    return json_answer(request, http::status::ok, "{}");
}

auto target::release(const http_request& request) -> asio::awaitable<http_response> {
    const auto body = json::parse(request.body(), nullptr, false);
    const auto first = body.at("from").get<shard_key>();
    const auto last = body.at("to").get<shard_key>();
    drop_overlap(first, last, body.at("fence").get<std::uint64_t>());
    const auto life = m_life;
    const auto busy = [&] {
        const auto at_work = m_keys_at_work.lower_bound(first);
        return m_life == life && at_work != m_keys_at_work.end() && at_work->first <= last;
    };
    while (busy()) {
        co_await pause(m_group.context(), work_poll);
    }
    auto answer = json_answer(request, http::status::ok, "{}");
    answer.set(names::handover, m_options.id + "-" + std::to_string(m_group.random()()));
    co_return answer;
}

auto target::work(responder& from, const http_request& request, bool is_late) -> asio::awaitable<bool> {
    auto& seen = m_group.seen();
    const auto id = std::string{request[names::attempt_id]};
    const auto key = m_options.keyed ? key_of(request) : std::nullopt;
    const auto life = m_life;
    const auto now = monotonic_now();
    // What waited while the process was suspended was sent in time.
    const auto late = !is_late && m_leaving_since && now > *m_leaving_since + m_group.drain() + drain_slack;
    const auto sender = seen.taken_by.contains(id) ? seen.taken_by.at(id) : seen.lives.size();
    if (late && is_in_touch(seen, id, now)) {
        report_broken(seen, "leaving targets get nothing new", m_options.id + " got " + id);
        m_informed.erase({sender, seen.lives[sender]}); // It has never known.
    } else if (late && now > *m_leaving_since + m_group.drain() + drain_slack + most_held_up &&
               sender < seen.lives.size() && m_informed.contains({sender, seen.lives[sender]})) {
        report_broken(seen, "a leaving target is never forgotten", m_options.id + " got " + id);
    }
    if (!is_late && m_group.must_be_idle(m_options.data_centre, now) && is_in_touch(seen, id, now)) {
        report_broken(seen, "data centres out of service get nothing new", m_options.id + " got " + id);
    }
    if (m_running + m_waiting >= m_options.slots + m_options.queue) {
        co_return co_await write_answer(from, refusal(request, http::status::service_unavailable));
    }
    ++m_waiting;
    while (m_running >= m_options.slots && m_life == life && m_up) {
        co_await pause(m_group.context(), work_poll);
    }
    if (m_life != life || !m_up) {
        co_return false;
    }
    --m_waiting;
    if (m_options.keyed && (!key || !holds(*key, *key, monotonic_now(), true))) {
        co_return co_await write_answer(from, refusal(request, http::status::misdirected_request));
    }
    ++m_running;
    check_account(request, id, seen);
    const auto runs = ++seen.runs[id];
    if (request.method() == http::verb::post && runs > 1) {
        report_broken(seen, "at most once", id + " runs again at " + m_options.id);
    }
    if (seen.said_not_run.contains(id)) {
        report_broken(seen, "not run is true", id + " runs at " + m_options.id + " after its refusal");
    }
    if (key) {
        auto& at_work = m_keys_at_work[*key];
        ++at_work.running;
        at_work.held_until = held_until(*key);
    }
    const auto spread = std::gamma_distribution<double>{4.0, 0.25}(m_group.random());
    const auto took = std::chrono::duration_cast<duration>(m_options.work * spread * m_slowness);
    co_await pause(m_group.context(), took);
    if (m_life != life || !m_up) {
        co_return false;
    }
    --m_running;
    if (key && --m_keys_at_work[*key].running == 0) {
        m_keys_at_work.erase(*key);
    }
    auto answer = http_response{http::status::ok, 11};
    answer.set(names::attempt_id, id);
    answer.set(names::signature, "soak-" + id);
    add_load(answer);
    answer.body() = "answer to " + id + "\n";
    answer.prepare_payload();
    co_return co_await write_answer(from, std::move(answer));
}

auto target_group::take_out_of_service(const std::string& data_centre) -> void {
    m_out_since.emplace(data_centre, monotonic_now());
}

auto target_group::must_be_idle(const std::string& data_centre, instant now) const -> bool {
    const auto found = m_out_since.find(data_centre);
    return found != m_out_since.end() && now > found->second + evacuation_bound;
}

auto target_group::add(target_options options) -> target& {
    m_targets.push_back(std::make_unique<target>(*this, std::move(options)));
    return *m_targets.back();
}

auto target_group::check_overlaps(instant now) -> void {
    constexpr auto longest_overlap = duration{std::chrono::milliseconds{500}};
    for (std::size_t left = 0; left < m_targets.size(); ++left) {
        for (auto right = left + 1; right < m_targets.size(); ++right) {
            const auto& one = *m_targets[left];
            const auto& other = *m_targets[right];
            if (one.options().service != other.options().service) {
                continue;
            }
            const auto pair = std::pair{one.options().id, other.options().id};
            const auto shared = one.shared_range(other, now);
            if (!shared) {
                const auto over = m_overlaps.find(pair);
                if (over != m_overlaps.end() && over->second.is_reported) {
                    tell("over: " + pair.first + " and " + pair.second + " held the same keys for " +
                         std::to_string((now - over->second.since).count() / 1000) + " ms");
                }
                m_overlaps.erase(pair);
                continue;
            }
            auto& current = m_overlaps.emplace(pair, overlap{.since = now}).first->second;
            if (!current.is_reported && now - current.since > longest_overlap) {
                current.is_reported = true;
                report_broken(m_seen, "one owner", pair.first + " and " + pair.second + " hold " + *shared);
            }
        }
    }
}

auto target_group::harm_of_grant(const target& asking, shard_key first, shard_key last, std::uint64_t fence,
                                 instant now) const -> std::string {
    auto harm = std::string{};
    for (const auto& each : m_targets) {
        const auto& other = each->options();
        if (each.get() == &asking || other.service != asking.options().service) {
            continue;
        }
        if (each->holds(first, last, now, false)) {
            harm += " " + other.id + " holds keys of it" + each->describe_holds(first, last, now) + ",";
        } else if (each->works_on(first, last, now)) {
            harm +=
                " " + other.id + " still works on a key of it" + each->describe_holds(first, last, now) + ",";
        }
        const auto highest = each->highest_fence(first, last);
        if (highest >= fence) {
            harm += " " + other.id + " had fence " + std::to_string(highest) + " for a key of it,";
        }
    }
    return harm;
}

} // namespace teaselcross::soak
