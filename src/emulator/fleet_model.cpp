#include "fleet_model.h"

#include "admission/gate.h"
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
                             subset_size(rate, {}), {}, {});
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
    auto* best = choose_view(from.known, {}, m_random(), m_now);
    const auto times =
        request_times{.deadline = m_now + m_options.deadline, .objective = m_now + m_options.objective};
    if (best == nullptr ||
        check_admission(*best, times, from.lateness, {.instances = m_options.instances}, m_now)) {
        m_result.refused += counts(*request) ? 1 : 0;
        return;
    }
    request->target = static_cast<std::size_t>(best - from.views.data());
    on_sent(*best);
    at(m_now + m_options.one_way, [this, request] { reach_target(request); });
    at(m_now + m_options.deadline, [this, request] { give_up(request); });
}

auto fleet::report_of(const target_state& target) const -> load_report {
    return {.running = target.running,
            .waiting = static_cast<std::uint32_t>(target.waiting.size()),
            .slots = m_options.slots,
            .slowness = target.noise};
}

auto fleet::reach_target(const request_ref& request) -> void {
    auto& target = m_targets[request->target];
    if (target.running < m_options.slots) {
        begin_work(request);
    } else if (target.waiting.size() < m_options.queue) {
        target.waiting.push_back(request);
    } else {
        const auto report = report_of(target);
        at(m_now + m_options.one_way,
           [this, request, report] { come_back(request, send_result::shed, report); });
    }
}

auto fleet::begin_work(const request_ref& request) -> void {
    auto& target = m_targets[request->target];
    ++target.running;
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
    m_result.timed_out += counts(*request) ? 1 : 0;
}

auto fleet::change_noise() -> void {
    for (auto& target : m_targets) {
        target.noise = uniform() < m_options.noisy_share ? m_options.noise : 1.0;
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
    }
    return m_result;
}

} // namespace

auto run_fleet(const fleet_options& options) -> fleet_result {
    auto played = fleet{options};
    return played.run();
}

} // namespace teaselcross::emulator
