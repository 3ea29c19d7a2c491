#pragma once

// A bound for the memory that many requests use together.

#include <cstddef>
#include <string>

namespace teaselcross {

/// Memory that may be in use at the same time, in bytes. Not thread safe. It must outlive its reservations.
class memory_budget {
public:
    explicit memory_budget(std::size_t limit) : m_limit{limit} {}
    memory_budget(const memory_budget&) = delete;
    auto operator=(const memory_budget&) -> memory_budget& = delete;
    ~memory_budget() = default;

    auto limit() const -> std::size_t { return m_limit; }
    auto in_use() const -> std::size_t { return m_in_use; }

private:
    friend class memory_reservation;

    std::size_t m_limit;
    std::size_t m_in_use = 0;
};

/// A part of a budget, given back when the reservation ends. Not thread safe.
class memory_reservation {
public:
    /// A reservation without a budget is never refused.
    memory_reservation() = default;
    explicit memory_reservation(memory_budget* budget) : m_budget{budget} {}
    memory_reservation(memory_reservation&& other) noexcept;
    auto operator=(memory_reservation&& other) noexcept -> memory_reservation&;
    memory_reservation(const memory_reservation&) = delete;
    auto operator=(const memory_reservation&) -> memory_reservation& = delete;
    ~memory_reservation() { release(); }

    /// Takes @a bytes more. Returns false, and takes nothing, if the budget has less left.
    [[nodiscard]] auto try_grow(std::size_t bytes) -> bool;
    /// Gives @a bytes back, at most those taken.
    auto shrink(std::size_t bytes) -> void;
    /// Gives everything back.
    auto release() -> void { shrink(m_bytes); }

    auto bytes() const -> std::size_t { return m_bytes; }

private:
    memory_budget* m_budget = nullptr;
    std::size_t m_bytes = 0;
};

/// Raises the capacity of @a text to @a capacity and counts it in @a reservation, which holds the present
/// capacity as far as it exceeds @a uncounted. A capacity of up to @a uncounted bytes is not counted. While
/// the text moves, both copies count. Returns false, and changes nothing, if the budget is used up.
[[nodiscard]] auto reserve_capacity(std::string& text, std::size_t capacity, std::size_t uncounted,
                                    memory_reservation& reservation) -> bool;

} // namespace teaselcross
