// Logging for multithreaded programs: a log4cplus thread writes the lines.

#include "logging/log.h"

#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>

namespace teaselcross::log {

namespace {

constexpr auto queue_length = 10'000U;

struct backend {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger;
    std::string instance;
};

auto current_backend() -> std::unique_ptr<backend>& {
    static auto instance = std::unique_ptr<backend>{};
    return instance;
}

auto log4cplus_level(level severity) -> log4cplus::LogLevel {
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

auto write_line(level severity, const std::string& text) -> void {
    current_backend()->logger.log(log4cplus_level(severity),
                                  "instance=" + current_backend()->instance + " " + text);
}

} // namespace

auto start(const std::string& instance, const std::string& minimum) -> void {
    auto created = std::make_unique<backend>();
    auto console = log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{false, true}};
    console->setLayout(
        std::make_unique<log4cplus::PatternLayout>("time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n"));
    created->logger = log4cplus::Logger::getInstance("teaselcross");
    created->logger.setLogLevel(log4cplus::DEBUG_LOG_LEVEL);
    created->logger.setAdditivity(false);
    created->logger.addAppender(
        log4cplus::SharedAppenderPtr{new log4cplus::AsyncAppender{console, queue_length}});
    created->instance = instance;
    current_backend() = std::move(created);
    set_sink(write_line, parse_level(minimum));
}

auto stop() -> void {
    set_sink(nullptr, level::error);
    current_backend().reset();
}

} // namespace teaselcross::log
