#include "logging/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <atomic>
#include <memory>

namespace teaselcross::log {

namespace {

constexpr auto queue_length = 10'000U;

struct backend {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
    std::string instance;
};

auto current() -> std::unique_ptr<backend>& {
    static auto instance = std::unique_ptr<backend>{};
    return instance;
}

auto started() -> std::atomic<bool>& {
    static auto flag = std::atomic<bool>{false};
    return flag;
}

auto level_of(level severity) -> log4cplus::LogLevel {
    switch (severity) {
    case level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case level::error:
        break;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

auto minimum_of(const std::string& name) -> log4cplus::LogLevel {
    if (name == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (name == "warning") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    return name == "error" ? log4cplus::ERROR_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL;
}

auto needs_quotes(const std::string& value) -> bool {
    return value.empty() || value.find_first_of(" \"=\n\t") != std::string::npos;
}

auto append_quoted(std::string& line, const std::string& value) -> void {
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
        }
        line += character == '\n' ? ' ' : character;
    }
    line += '"';
}

} // namespace

auto start(const std::string& instance, const std::string& minimum) -> void {
    auto created = std::make_unique<backend>();
    auto console = log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{false, true}};
    console->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    created->logger = log4cplus::Logger::getInstance("teaselcross");
    created->logger.setLogLevel(minimum_of(minimum));
    created->logger.setAdditivity(false);
    created->logger.addAppender(
        log4cplus::SharedAppenderPtr{new log4cplus::AsyncAppender{console, queue_length}});
    created->instance = instance;
    current() = std::move(created);
    started().store(true, std::memory_order_release);
}

auto stop() -> void {
    started().store(false);
    current().reset();
}

auto format(std::string_view event, std::initializer_list<field> fields) -> std::string {
    auto line = "event=" + std::string{event};
    for (const auto& each : fields) {
        line += ' ';
        line += each.key;
        line += '=';
        if (needs_quotes(each.value)) {
            append_quoted(line, each.value);
        } else {
            line += each.value;
        }
    }
    return line;
}

auto write(level severity, std::string_view event, std::initializer_list<field> fields) -> void {
    if (!started().load(std::memory_order_acquire)) {
        return;
    }
    auto& logger = current()->logger;
    const auto chosen = level_of(severity);
    if (logger.isEnabledFor(chosen)) {
        logger.log(chosen, "instance=" + current()->instance + " " + format(event, fields));
    }
}

} // namespace teaselcross::log
