#include "gateway/store_follower.h"

#include "gateway/object_list.h"
#include "logging/log.h"
#include "runtime/clock.h"

#include <boost/range/adaptor/reversed.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselcross {

using json = nlohmann::json;

namespace {

/// Each watch costs a call when it ends, so it is long. A dead connection is detected earlier, by its
/// keep-alive.
constexpr auto watch_timeout = duration{std::chrono::milliseconds{9000}};
constexpr auto retry_delay = duration{std::chrono::milliseconds{120}};
/// Limit of the delay between watches when lists bring no revision that can be watched, and the delay between
/// lists that cannot be read to their end.
constexpr auto max_retry_delay = duration{std::chrono::milliseconds{1000}};
/// The allowance for the round trip of a request that a relay holds.
constexpr auto relay_round_trip_timeout = duration{std::chrono::milliseconds{800}};
/// A comparison is answered from memory; the rest of the time in which a change must take effect is left for
/// asking the store afterwards.
constexpr auto compare_timeout = duration{std::chrono::milliseconds{400}};
/// How long a relay that has not read the store yet is waited for, as when the whole fleet starts.
constexpr auto relay_start_timeout = duration{std::chrono::milliseconds{1500}};
/// Interval of the checks whether this instance is still the writer of the objects.
constexpr auto writer_check_interval = duration{std::chrono::milliseconds{200}};
/// How long a relay that did not answer is avoided.
constexpr auto relay_avoid_time = duration{std::chrono::milliseconds{3000}};
/// A watch whose answer has more bytes of replaced versions is too far behind.
constexpr auto max_superseded_bytes = std::size_t{64} * 1024;
/// Earlier values kept to compute differences: about one second of changes, for followers that lag.
constexpr auto max_past_values = std::size_t{24};
constexpr auto max_relayed_bytes = std::size_t{16} * 1024 * 1024;

auto post_to(const endpoint& peer, const char* path, std::string body) -> http_request {
    auto request = http_request{boost::beast::http::verb::post, path, 11};
    request.set(boost::beast::http::field::host, peer.host);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

/// Takes out of @a objects, which are in the order of their revisions, the live versions that a live one of
/// the same object follows. Returns their bytes.
auto drop_superseded(std::vector<store_object>& objects) -> std::size_t {
    auto bytes = std::size_t{0};
    auto next = std::map<std::string, bool>{}; // Whether the next version of the object is live.
    auto kept = std::vector<store_object>{};
    for (auto& each : boost::adaptors::reverse(objects)) {
        const auto is_superseded = std::exchange(next[each.key], !each.removed) && !each.removed;
        if (is_superseded) {
            bytes += each.value.size();
        } else {
            kept.push_back(std::move(each));
        }
    }
    std::reverse(kept.begin(), kept.end());
    objects = std::move(kept);
    return bytes;
}

/// The time before which all changes are contained in an answer to a request that was sent at @a sent.
auto time_of(instant sent, duration held, duration age) -> instant {
    return age == duration::max() ? instant{} : sent + held - age;
}

} // namespace

store_follower::store_follower(store_access& store, cluster_state& cluster, const gateway_settings& settings,
                               boost::asio::any_io_executor executor, follower_options options,
                               follower_events events)
    : m_store{store}, m_cluster{cluster}, m_settings{settings}, m_options{std::move(options)},
      m_events{std::move(events)}, m_pool{executor,
                                          {.connect_timeout = relay_round_trip_timeout,
                                           .idle_limit = std::chrono::seconds{20},
                                           .user_timeout = relay_round_trip_timeout,
                                           .idle_per_peer = 1}},
      m_signal{executor}, m_differences{max_past_values}, m_epoch{
                                                              (std::uint64_t{std::random_device{}()} << 32U) |
                                                              1U} {}

auto store_follower::is_live(const std::string& key) const -> bool {
    const auto found = m_replica.entries.find(key);
    return found != m_replica.entries.end() && !found->second.object.removed;
}

auto store_follower::age() const -> duration {
    return m_confirmed_at == instant{} ? duration::max() : monotonic_now() - m_confirmed_at;
}

/// Hands a change that was applied to the copy to the listener. Logs objects that appear or disappear; a new
/// version of a known object has no line.
auto store_follower::report_change(const store_object& object, bool was_live, const change_origin& origin)
    -> void {
    m_last_change = monotonic_now();
    if (was_live == object.removed) {
        log::info(object.removed ? "object_removed" : "object_added",
                  {{"object", object.key},
                   {"version", to_string(object.version)},
                   {"source", name_in(change_source_names, origin.source)},
                   {"from", origin.from},
                   {"source_revision", to_string(origin.revision)},
                   {"complete_to", to_string(m_replica.complete_to)},
                   {"copy_age_ms", m_confirmed_at == instant{} ? -1 : age().count() / 1000}});
    }
    measure_change(object, origin);
    m_events.changed(object, m_confirmed_at);
}

/// Records how long after the store's first report a change was applied here.
auto store_follower::measure_change(const store_object& object, const change_origin& origin) -> void {
    if (object.removed || !origin.first_known) {
        m_first_known.erase(object.key);
    } else {
        m_first_known[object.key] = {object.version, *origin.first_known};
    }
    const auto delay =
        origin.first_known ? std::optional{monotonic_now() - *origin.first_known} : std::nullopt;
    if (delay && m_events.measured) {
        m_events.measured(object, *delay);
    }
    if (m_options.logs_changes) {
        log::info("change_learnt", {{"object", object.key},
                                    {"version", to_string(object.version)},
                                    {"source", name_in(change_source_names, origin.source)},
                                    {"from", origin.from},
                                    {"delay_ms", delay ? delay->count() / 1000 : -1}});
    }
}

auto store_follower::apply_object(const store_object& object, const change_origin& origin) -> void {
    const auto was_live = is_live(object.key);
    const auto result = merge_object(m_replica, object);
    if (result == merge_result::applied) {
        report_change(object, was_live, origin);
    } else if (result == merge_result::removed_later) {
        log::info("object_refused", {{"object", object.key},
                                     {"version", to_string(object.version)},
                                     {"source", name_in(change_source_names, origin.source)},
                                     {"from", origin.from},
                                     {"source_revision", to_string(origin.revision)},
                                     {"complete_to", to_string(m_replica.complete_to)}});
    }
}

auto store_follower::apply_list(const std::vector<object_page>& pages, const change_origin& origin) -> void {
    if (origin.revision < m_replica.newest_heard) {
        log::info("list_too_old", {{"kind", m_options.kind},
                                   {"source", name_in(change_source_names, origin.source)},
                                   {"from", origin.from},
                                   {"source_revision", to_string(origin.revision)},
                                   {"complete_to", to_string(m_replica.complete_to)},
                                   {"newest_heard", to_string(m_replica.newest_heard)}});
    }
    for (const auto& page : pages) {
        for (const auto& object : page.objects) {
            m_copied_bytes += origin.source == change_source::list ? object.value.size() : 0;
        }
    }
    const auto live_before = live_versions(m_replica);
    for (const auto& change : merge_list(m_replica, pages)) {
        report_change(change, live_before.contains(change.key), origin);
    }
    m_listed = true;
}

/// Applies what a list contains that could not be read to its end. It says nothing about other objects, so
/// the copy is neither complete nor confirmed by it.
auto store_follower::apply_part_of_list(const std::vector<object_page>& pages) -> void {
    for (const auto& page : pages) {
        const auto origin = change_origin{.source = change_source::list, .revision = page.revision};
        for (const auto& object : page.objects) {
            apply_object(object, origin);
        }
    }
    wake_followers();
}

/// Wakes the followers of this instance if there were changes.
auto store_follower::wake_followers() -> void {
    if (m_notified_number != m_replica.change_number) {
        m_notified_number = m_replica.change_number;
        m_signal.notify();
    }
}

/// Records what an answer says about the copy as a whole, and wakes the followers of this instance if there
/// were changes.
auto store_follower::finish_answer(const change_origin& origin) -> void {
    set_complete_to(m_replica, origin.revision);
    set_confirmed(origin.as_of);
    wake_followers();
}

auto store_follower::is_writer() const -> bool {
    const auto writer = m_options.writer ? m_options.writer() : std::nullopt;
    return writer && writer->name == m_settings.instance;
}

auto store_follower::apply_own_write(const store_object& object, instant written_at) -> void {
    // It says nothing about other objects, so the copy is complete to no later revision than before.
    const auto origin = change_origin{.source = change_source::own_write, .as_of = written_at};
    apply_object(object, origin);
    finish_answer(origin);
}

/// Whether a copy that is complete up to @a revision belongs to an era that has ended.
auto store_follower::is_of_past_era(const store_revision& revision) const -> bool {
    return revision.era < m_replica.newest_heard.era;
}

auto store_follower::confirm(const copy_state& equal, instant asked_at) -> void {
    if (is_of_past_era(equal.complete_to)) {
        return; // Copies without objects are equal in all eras.
    }
    set_complete_to(m_replica, equal.complete_to);
    set_confirmed(time_of(asked_at, {}, equal.age));
}

auto store_follower::state() const -> copy_state {
    return {.digest = m_replica.digest, .complete_to = m_replica.complete_to, .age = age()};
}

auto store_follower::refresh() -> boost::asio::awaitable<refresh_result> {
    if (m_refreshing) {
        co_return refresh_result::failed;
    }
    m_refreshing = true;
    const auto sent = monotonic_now();
    const auto newest_before = m_replica.newest_heard;
    const auto list = co_await read_object_list(m_store, m_options.kind, false);
    m_refreshing = false;
    const auto& pages = list.pages;
    if (pages.empty() || is_of_past_era(pages.front().revision)) {
        co_return refresh_result::failed;
    }
    const auto revision = pages.front().revision;
    if (list.end != list_end::complete) {
        apply_part_of_list(pages);
        co_return refresh_result::incomplete;
    }
    // A list older than what was known before the call was not read from the store's present state.
    const auto is_stale = revision < newest_before;
    const auto origin = change_origin{
        .source = change_source::list, .revision = revision, .as_of = is_stale ? instant{} : sent};
    apply_list(pages, origin);
    m_watched_from = m_replica.complete_to;
    finish_answer(origin);
    co_return refresh_result::complete;
}

/// Lists the objects again and again until a list brings no change. A watch reports every version of an
/// object, a list the latest one only: where large objects change in quick succession, the link and the
/// processor may have no room for the others.
auto store_follower::list_until_quiet() -> boost::asio::awaitable<void> {
    constexpr auto max_failures = 3; // In a row; another list of this kind may be under way.
    auto failures = 0;
    auto known = m_replica.change_number;
    log::info("watch_paused", {{"kind", m_options.kind}, {"complete_to", to_string(m_replica.complete_to)}});
    while (failures < max_failures) {
        const auto result = co_await refresh();
        failures = result == refresh_result::complete ? 0 : failures + 1;
        if (failures == 0 && m_replica.change_number == std::exchange(known, m_replica.change_number)) {
            co_return;
        }
        co_await sleep_for(std::max(m_options.batch_delay, retry_delay));
    }
}

/// Watches until the store no longer has the history, or another instance becomes the relay. Returns the
/// revision that could not be watched any more, if any.
auto store_follower::watch() -> boost::asio::awaitable<std::optional<store_revision>> {
    while (true) {
        const auto from = m_watched_from;
        const auto sent = monotonic_now();
        auto call = store_call{
            .kind = store_call_kind::watch, .key = m_options.kind, .after = from, .wait = watch_timeout};
        auto reply = co_await m_store.read(std::move(call));
        // After a restore the same number may be known, but it names another change.
        const auto is_other_era = reply.status == store_status::ok && reply.era != from.era;
        if (reply.status == store_status::history_lost || is_other_era) {
            log::info("store_history_lost",
                      {{"kind", m_options.kind}, {"after", to_string(from)}, {"era", reply.era}});
            co_return from;
        }
        if (reply.status != store_status::ok) {
            co_await sleep_for(retry_delay);
            continue;
        }
        auto origin =
            change_origin{.source = change_source::watch, .as_of = sent, .first_known = monotonic_now()};
        const auto superseded = drop_superseded(reply.objects);
        m_copied_bytes += superseded;
        for (const auto& object : reply.objects) {
            origin.revision = std::max(origin.revision, object.version);
            m_copied_bytes += object.value.size();
        }
        for (const auto& object : reply.objects) {
            apply_object(object, origin);
        }
        m_watched_from = std::max(m_watched_from, reply.version);
        if (!reply.objects.empty()) {
            finish_answer(origin);
            co_await sleep_for(m_options.batch_delay);
        }
        if (superseded > max_superseded_bytes) {
            co_await list_until_quiet();
        }
        if (relay() || is_writer()) {
            co_return std::nullopt; // Another instance has become the relay, or nothing is written elsewhere
                                    // any more.
        }
    }
}

auto store_follower::follow_relay(instance_record followed) -> boost::asio::awaitable<void> {
    auto query = follow_query{};
    const auto started = monotonic_now();
    while (true) {
        const auto chosen = relay();
        if (!chosen || chosen->name != followed.name || is_writer()) {
            co_return;
        }
        const auto sent = monotonic_now();
        auto request = post_to(followed.internal, follow_path, encode(m_options.kind, query));
        auto address = followed.internal;
        const auto response =
            co_await perform_exchange(m_pool, std::move(address), std::move(request),
                                      relay_poll_timeout + relay_round_trip_timeout, max_relayed_bytes);
        m_copied_bytes += response ? response->body().size() : 0;
        const auto answer = response ? decode_follow_answer(response->body()) : std::nullopt;
        if (!answer && response && is_starting_answer(response->body()) &&
            monotonic_now() - started < relay_start_timeout) {
            co_await sleep_for(retry_delay);
            continue;
        }
        if (!answer) {
            log::info("relay_lost", {{"relay", followed.name}, {"kind", m_options.kind}});
            m_avoided_relays[followed.name] = monotonic_now() + relay_avoid_time;
            co_return;
        }
        if (is_of_past_era(answer->complete_to)) {
            query = {};
            co_await sleep_for(retry_delay);
            continue;
        }
        query = {.epoch = answer->epoch, .number = answer->number};
        m_store.note_relayed_outage(answer->outage_grace);
        if (!apply_relayed(*answer, sent + answer->held,
                           {.source = change_source::relay,
                            .from = followed.internal.host,
                            .as_of = time_of(sent, answer->held, answer->age)})) {
            query.epoch = 0; // A difference did not apply: request the complete list next.
        }
    }
}

/// Applies a difference. Returns false when it does not apply to the known version.
auto store_follower::apply_patch(const relayed_object& relayed, const change_origin& origin) -> bool {
    auto object = relayed.object;
    if (compare_object(m_replica, object) != merge_result::applied) {
        return true;
    }
    if (!m_events.patched(object, relayed.base)) {
        return false;
    }
    if (m_direct) {
        m_differences.add({.from = relayed.base, .to = object.version, .text = std::move(object.value)});
    }
    object.value.clear();
    merge_object(m_replica, object);
    m_last_change = monotonic_now();
    measure_change(object, origin);
    return true;
}

/// Applies a relay's answer. Returns false when a difference did not apply to the known version.
auto store_follower::apply_relayed(const follow_answer& answer, instant answered_at, change_origin origin)
    -> bool {
    origin.revision = answer.complete_to;
    if (answer.is_whole) {
        origin.source = change_source::relayed_list;
        auto page = object_page{.revision = answer.complete_to};
        for (const auto& each : answer.objects) {
            page.objects.push_back(each.object);
        }
        apply_list({page}, origin);
        finish_answer(origin);
        return true;
    }
    auto all_applied = true;
    for (const auto& each : answer.objects) {
        origin.first_known = each.known_for ? std::optional{answered_at - *each.known_for} : std::nullopt;
        if (each.base == store_revision{}) {
            apply_object(each.object, origin);
        } else if (!apply_patch(each, origin)) {
            all_applied = false;
        }
    }
    // Otherwise this copy holds an object that the relay does not know, or not any more.
    if (all_applied && m_replica.digest == answer.digest) {
        finish_answer(origin);
    }
    return all_applied;
}

auto store_follower::compare_with(endpoint peer) -> boost::asio::awaitable<bool> {
    const auto versions = live_versions(m_replica);
    const auto complete_to = m_replica.complete_to;
    const auto sent = monotonic_now();
    auto request = post_to(peer, compare_path, encode(m_options.kind, versions));
    auto origin = change_origin{.source = change_source::comparison, .from = peer.host};
    const auto response = co_await perform_exchange(m_pool, std::move(peer), std::move(request),
                                                    compare_timeout, max_relayed_bytes);
    m_copied_bytes += response ? response->body().size() : 0;
    const auto answer = response ? decode_compare_answer(response->body()) : std::nullopt;
    if (!answer || is_of_past_era(answer->comparison.complete_to)) {
        co_return false;
    }
    origin.revision = answer->comparison.complete_to;
    origin.as_of = time_of(sent, {}, answer->age);
    m_store.note_relayed_outage(answer->outage_grace);
    for (const auto& object : objects_to_merge(m_replica, answer->comparison)) {
        const auto known = answer->known_for.find(object.key);
        origin.first_known =
            known == answer->known_for.end() ? std::nullopt : std::optional{sent - known->second};
        apply_object(object, origin);
    }
    finish_answer(origin);
    co_return answer->comparison.complete_to >= complete_to;
}

auto store_follower::run() -> boost::asio::awaitable<void> {
    auto lost_after = std::optional<store_revision>{};
    auto pause = retry_delay;
    while (true) {
        const auto from = relay();
        const auto writes = is_writer();
        const auto* preferred = preferred_instance();
        const auto is_preferred = preferred == nullptr || preferred->name == m_settings.instance;
        m_direct = !from || writes || is_preferred;
        m_replica.max_past_values = m_direct && m_options.difference != nullptr ? max_past_values : 0;
        const auto is_present_era = m_replica.complete_to.era >= m_store.era();
        if (writes && m_listed && is_present_era) {
            co_await sleep_for(writer_check_interval);
            continue;
        }
        if (from && !writes) {
            co_await follow_relay(*from);
            continue;
        }
        const auto listed = co_await refresh();
        if (listed != refresh_result::complete) {
            co_await sleep_for(listed == refresh_result::failed ? retry_delay : max_retry_delay);
            continue;
        }
        if (lost_after && m_watched_from <= *lost_after) {
            co_await sleep_for(pause);
            pause = std::min(2 * pause, max_retry_delay);
        } else {
            pause = retry_delay;
        }
        lost_after.reset();
        if (!writes) {
            lost_after = co_await watch();
        }
    }
}

} // namespace teaselcross
