#include "core/event_log.h"

#include "core/log_writer.h"

#include <log4cplus/appender.h>
#include <log4cplus/configurator.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <cstdio>
#include <memory>

namespace lycheetrestle::core {

namespace {

log4cplus::LogLevel toLibraryLevel(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case log_level::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case log_level::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case log_level::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() || std::any_of(Value.begin(), Value.end(), [](char C) {
           return static_cast<unsigned char>(C) <= ' ' || C == '"' ||
                  C == '=' || C == '\\' || C == 0x7f;
         });
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!needsQuotes(Value)) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char C : Value) {
    if (C == '"' || C == '\\') {
      Line += '\\';
      Line += C;
    } else if (C == '\n') {
      Line += "\\n";
    } else if (static_cast<unsigned char>(C) < ' ' || C == 0x7f) {
      Line += '?';
    } else {
      Line += C;
    }
  }
  Line += '"';
}

// Holds a few seconds of lines at peak load.
constexpr std::size_t MaxQueuedBytes = 4u << 20;

/// Appender that passes formatted lines to a log_writer.
class queue_appender : public log4cplus::Appender {
public:
  queue_appender()
      : Writer(std::make_unique<log_writer>(
            [](std::string_view Bytes) {
              std::fwrite(Bytes.data(), 1, Bytes.size(), stdout);
              std::fflush(stdout);
            },
            MaxQueuedBytes)) {}
  ~queue_appender() override { destructorImpl(); }

  void close() override { closed = true; }
  void flush() { Writer->flush(); }

protected:
  void append(const log4cplus::spi::InternalLoggingEvent &Event) override {
    Writer->write(formatEvent(Event));
  }

private:
  std::unique_ptr<log_writer> Writer;
};

/// The appender for standard output, null while the process logs to a file.
queue_appender *&processAppender() {
  static queue_appender *Appender = nullptr;
  return Appender;
}

log4cplus::Logger &processLogger() {
  static log4cplus::Initializer Library;
  static log4cplus::Logger Logger =
      log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("lycheetrestle"));
  return Logger;
}

} // namespace

void initializeLog(std::string_view Path, log_level Minimum,
                   std::string_view ProcessName) {
  log4cplus::SharedAppenderPtr Appender;
  processAppender() = nullptr;
  if (Path.empty()) {
    processAppender() = new queue_appender();
    Appender = processAppender();
  } else {
    Appender = new log4cplus::FileAppender(std::string(Path),
                                           std::ios_base::app, true);
  }
  std::string Pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" +
                        std::string(ProcessName) + " %m%n";
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  auto &Logger = processLogger();
  Logger.removeAllAppenders();
  Logger.addAppender(Appender);
  Logger.setLogLevel(toLibraryLevel(Minimum));
}

void flushLog() {
  if (processAppender())
    processAppender()->flush();
}

std::string formatEvent(std::string_view Event,
                        std::initializer_list<log_field> Fields) {
  std::string Line = "event=";
  appendValue(Line, Event);
  for (const auto &Field : Fields) {
    Line += ' ';
    Line += Field.key();
    Line += '=';
    appendValue(Line, Field.value());
  }
  return Line;
}

void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields) {
  auto &Logger = processLogger();
  auto LibraryLevel = toLibraryLevel(Level);
  if (Logger.getAllAppenders().empty() || !Logger.isEnabledFor(LibraryLevel))
    return;
  Logger.log(LibraryLevel, formatEvent(Event, Fields));
}

} // namespace lycheetrestle::core
