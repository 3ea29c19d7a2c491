#pragma once

// Choices of one step of a model, taken one after another so that all of them can be tried.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselcross::test {

/// Chooses within one step: repeats given choices, then takes the first of each.
class chooser {
public:
    chooser(std::vector<std::uint8_t> given, std::vector<std::string>* trace)
        : m_taken{std::move(given)}, m_trace{trace} {}

    /// One of @a count choices.
    auto choose(std::size_t count) -> std::size_t {
        if (m_position == m_taken.size()) {
            m_taken.push_back(0);
        }
        m_counts.push_back(count);
        return m_taken[m_position++];
    }
    /// The choices that follow these in order; none after the last.
    auto next() const -> std::optional<std::vector<std::uint8_t>> {
        auto following = m_taken;
        following.resize(m_position);
        while (!following.empty() && following.back() + 1U >= m_counts[following.size() - 1]) {
            following.pop_back();
        }
        if (following.empty()) {
            return std::nullopt;
        }
        ++following.back();
        return following;
    }
    auto taken() const -> const std::vector<std::uint8_t>& { return m_taken; }
    auto is_traced() const -> bool { return m_trace != nullptr; }
    auto trace(std::string line) -> void { m_trace->push_back(std::move(line)); }

private:
    std::vector<std::uint8_t> m_taken;
    std::vector<std::size_t> m_counts;
    std::size_t m_position = 0;
    std::vector<std::string>* m_trace;
};

} // namespace teaselcross::test
