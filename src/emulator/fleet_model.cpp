#include "fleet_model.h"

#include "admission/gate.h"
#include "admission/load_exchange.h"
#include "admission/target_subset.h"
#include "core/rendezvous.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace teaselcross::emulator {

namespace {

struct sent_request {
    std::size_t instance = 0;
    std::size_t target = 0;
    instant arrived{};
    instant sent{};
    bool ended = false; ///< At the instance: answered, shed or given up.
};

using request_ref = std::shared_ptr<sent_request>;

struct target_state {
    double speed = 1;
    double noise = 1;
    std::uint32_t running = 0;
    std::deque<request_ref> waiting;
    std::uint32_t coming = 0;         ///< Requests on their way to it.
    std::deque<shared_report> states; ///< Oldest first.
};

struct instance_state {
    std::vector<target_view> views;
    std::vector<target_view*> known; ///< What it chooses among.
    lateness_estimate lateness;
};

struct event {
    instant at;
    std::uint64_t order = 0; ///< Of events at the same time.
    std::function<void()> action;
};

struct later {
    auto operator()(const event& left, const event& right) const -> bool {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

class fleet {
public:
    explicit fleet(const fleet_options& options);

    auto run() -> fleet_result;

private:
    auto at(instant when, std::function<void()> action) -> void {
        m_events.push({.at = when, .order = ++m_scheduled, .action = std::move(action)});
    }
    auto uniform() -> double { return std::uniform_real_distribution<double>{}(m_random); }
    auto bearable_rate() const -> double;
    auto schedule_arrival(std::size_t instance, double rate) -> void;
    auto arrive(std::size_t instance) -> void;
    auto reach_target(const request_ref& request) -> void;
    auto begin_work(const request_ref& request) -> void;
    auto end_work(const request_ref& request) -> void;
    auto report_of(const target_state& target) const -> load_report;
    auto note_state(target_state& target) -> void;
    auto hear_of_others(std::size_t instance) -> void;
    auto see_everything(instance_state& from) -> void;
    auto come_back(const request_ref& request, send_result result, const load_report& report) -> void;
    auto give_up(const request_ref& request) -> void;
    auto change_noise() -> void;
    auto counts(const sent_request& request) const -> bool {
        return request.arrived - instant{} >= m_options.warm_up;
    }

    const fleet_options& m_options;
    std::mt19937_64 m_random;
    std::priority_queue<event, std::vector<event>, later> m_events;
    std::uint64_t m_scheduled = 0;
    instant m_now{};
    std::vector<target_state> m_targets;
    std::vector<instance_state> m_instances;
    std::vector<double> m_latencies;
    fleet_result m_result;
};

fleet::fleet(const fleet_options& options) : m_options{options}, m_random{options.seed} {
    for (std::size_t index = 0; index < options.targets; ++index) {
        m_targets.push_back({.speed = options.speeds[index % options.speeds.size()]});
    }
    const auto rate = options.load * bearable_rate() / static_cast<double>(options.instances);
    for (std::size_t index = 0; index < options.instances; ++index) {
        auto& made = m_instances.emplace_back();
        for (std::size_t target = 0; target < options.targets; ++target) {
            made.views.push_back(
                {.listed = {.id = target_id{"t" + std::to_string(target)}, .slots = options.slots}});
        }
        for (auto& view : made.views) {
            made.known.push_back(&view);
        }
        if (options.subsets) {
            reduce_to_subset(made.known, hash_text("instance-" + std::to_string(index)),
                             options.subset > 0 ? options.subset : subset_size(rate, {}), {}, {});
        }
    }
    for (std::size_t index = 0; index < options.instances; ++index) {
        schedule_arrival(index, rate);
    }
    change_noise();
}

auto fleet::bearable_rate() const -> double {
    auto speeds = 0.0;
    for (const auto& target : m_targets) {
        speeds += target.speed;
    }
    const auto usual = 1.0 - m_options.noisy_share + m_options.noisy_share / m_options.noise;
    const auto work = std::chrono::duration<double>(m_options.work).count();
    return speeds * m_options.slots * usual / work;
}

auto fleet::schedule_arrival(std::size_t instance, double rate) -> void {
    const auto pause = std::exponential_distribution<double>{rate}(m_random);
    const auto when = m_now + duration{static_cast<duration::rep>(pause * 1e6)};
    if (when - instant{} < m_options.run) {
        at(when, [this, instance, rate] {
            schedule_arrival(instance, rate);
            arrive(instance);
        });
    }
}

auto fleet::arrive(std::size_t instance) -> void {
    auto& from = m_instances[instance];
    auto request = std::make_shared<sent_request>();
    *request = {.instance = instance, .arrived = m_now, .sent = m_now};
    m_result.requests += counts(*request) ? 1 : 0;
    if (m_options.shared_reports) {
        hear_of_others(instance);
    }
    if (m_options.knows_everything) {
        see_everything(from);
    }
    auto* best = choose_view(from.known, {.jitter = m_options.jitter}, m_random(), m_now);
    const auto times =
        request_times{.deadline = m_now + m_options.deadline, .objective = m_now + m_options.objective};
    if (best == nullptr ||
        check_admission(*best, times, from.lateness, {.instances = m_options.instances}, m_now)) {
        m_result.refused += counts(*request) ? 1 : 0;
        return;
    }
    request->target = static_cast<std::size_t>(best - from.views.data());
    on_sent(*best, m_now);
    ++m_targets[request->target].coming;
    at(m_now + m_options.one_way, [this, request] { reach_target(request); });
    at(m_now + m_options.deadline, [this, request] { give_up(request); });
}

auto fleet::report_of(const target_state& target) const -> load_report {
    return {.running = target.running,
            .waiting = static_cast<std::uint32_t>(target.waiting.size()),
            .slots = m_options.slots,
            .slowness = target.noise};
}

/// Keeps the present state of @a target for instances that learn of it later.
auto fleet::note_state(target_state& target) -> void {
    const auto report = report_of(target);
    target.states.push_back(
        {.requests = report.running + report.waiting, .slowness = report.slowness, .reported_at = m_now});
    while (m_now - target.states.front().reported_at > 2 * m_options.most_delay) {
        target.states.pop_front();
    }
}

/// Merges the states of targets that have become known to @a instance.
auto fleet::hear_of_others(std::size_t instance) -> void {
    const auto span = static_cast<std::uint64_t>((m_options.most_delay - m_options.least_delay).count());
    const auto second = (m_now - instant{}) / std::chrono::seconds{1};
    for (auto* view : m_instances[instance].known) {
        const auto pair = std::to_string(instance) + "/" + view->listed.id.value();
        const auto weight = rendezvous_weight(static_cast<std::uint64_t>(second), pair);
        const auto until = m_now - m_options.least_delay - duration{weight % span};
        const auto index = static_cast<std::size_t>(view - m_instances[instance].views.data());
        const auto& states = m_targets[index].states;
        const auto found = std::find_if(states.rbegin(), states.rend(),
                                        [&](const auto& each) { return each.reported_at <= until; });
        if (found != states.rend()) {
            auto heard = *found;
            heard.reported_at = until;
            on_shared_report(*view, heard, m_now);
        }
    }
}

auto fleet::see_everything(instance_state& from) -> void {
    for (auto* view : from.known) {
        const auto& target = m_targets[static_cast<std::size_t>(view - from.views.data())];
        view->service_us = static_cast<double>(m_options.work.count()) / target.speed;
        const auto requests =
            target.coming + target.running + static_cast<std::uint32_t>(target.waiting.size());
        set_report(*view, requests - std::min(requests, view->in_flight), target.noise, m_now);
    }
}

auto fleet::reach_target(const request_ref& request) -> void {
    auto& target = m_targets[request->target];
    --target.coming;
    if (target.running < m_options.slots) {
        begin_work(request);
    } else if (target.waiting.size() < m_options.queue) {
        target.waiting.push_back(request);
        note_state(target);
    } else {
        const auto report = report_of(target);
        at(m_now + m_options.one_way,
           [this, request, report] { come_back(request, send_result::shed, report); });
    }
}

auto fleet::begin_work(const request_ref& request) -> void {
    auto& target = m_targets[request->target];
    ++target.running;
    note_state(target);
    // A gamma distribution has the wanted mean and spread, and no work takes less than nothing.
    const auto shape = 1.0 / (m_options.work_spread * m_options.work_spread);
    const auto factor = std::gamma_distribution<double>{shape, 1.0 / shape}(m_random);
    const auto micros = static_cast<double>(m_options.work.count()) * factor * target.noise / target.speed;
    at(m_now + duration{static_cast<duration::rep>(micros)}, [this, request] { end_work(request); });
}

auto fleet::end_work(const request_ref& request) -> void {
    auto& target = m_targets[request->target];
    --target.running;
    const auto report = report_of(target);
    note_state(target);
    if (!request->ended) {
        at(m_now + m_options.one_way,
           [this, request, report] { come_back(request, send_result::answered, report); });
    }
    while (!target.waiting.empty() && target.running < m_options.slots) {
        const auto next = target.waiting.front();
        target.waiting.pop_front();
        if (!next->ended) {
            begin_work(next);
        }
    }
}

auto fleet::come_back(const request_ref& request, send_result result, const load_report& report) -> void {
    if (request->ended) {
        return;
    }
    request->ended = true;
    auto& view = m_instances[request->instance].views[request->target];
    const auto took = m_now - request->sent;
    on_ended(view, result, took, {}, m_now);
    on_report(view, report, m_now);
    if (result == send_result::answered) {
        record_answer(m_instances[request->instance].lateness, took > m_options.objective);
    }
    if (!counts(*request)) {
        return;
    }
    if (result == send_result::shed) {
        ++m_result.shed;
        m_latencies.push_back(static_cast<double>(m_options.deadline.count()) / 1000.0);
        return;
    }
    const auto in_time = took <= m_options.objective;
    ++(in_time ? m_result.in_time : m_result.late);
    m_latencies.push_back(static_cast<double>(took.count()) / 1000.0);
}

auto fleet::give_up(const request_ref& request) -> void {
    if (request->ended) {
        return;
    }
    request->ended = true;
    auto& view = m_instances[request->instance].views[request->target];
    on_ended(view, send_result::no_answer, m_now - request->sent, {}, m_now);
    record_answer(m_instances[request->instance].lateness, true);
    if (counts(*request)) {
        ++m_result.timed_out;
        m_latencies.push_back(static_cast<double>(m_options.deadline.count()) / 1000.0);
    }
}

auto fleet::change_noise() -> void {
    for (auto& target : m_targets) {
        target.noise = uniform() < m_options.noisy_share ? m_options.noise : 1.0;
        note_state(target);
    }
    if (m_now - instant{} < m_options.run) {
        at(m_now + m_options.noise_period, [this] { change_noise(); });
    }
}

auto fleet::run() -> fleet_result {
    while (!m_events.empty()) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    if (m_result.requests > 0) {
        m_result.worth = (static_cast<double>(m_result.in_time) +
                          m_options.late_worth * static_cast<double>(m_result.late)) /
                         static_cast<double>(m_result.requests);
    }
    if (!m_latencies.empty()) {
        const auto middle = m_latencies.begin() + static_cast<std::ptrdiff_t>(m_latencies.size() / 2);
        std::nth_element(m_latencies.begin(), middle, m_latencies.end());
        m_result.waited_ms = *middle;
        const auto last = m_latencies.begin() + static_cast<std::ptrdiff_t>(m_latencies.size() * 99 / 100);
        std::nth_element(m_latencies.begin(), last, m_latencies.end());
        m_result.slowest_ms = *last;
    }
    return m_result;
}

} // namespace

auto run_fleet(const fleet_options& options) -> fleet_result {
    auto played = fleet{options};
    return played.run();
}

} // namespace teaselcross::emulator
