#include "operators/ctl.h"

#include "control/controlclient.h"
#include "control/json.h"
#include "operators/documents.h"
#include "operators/requeststory.h"
#include "settings/processsettings.h"
#include "settings/textfile.h"
#include "views.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iterator>
#include <ostream>
#include <thread>

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::ordered_json;

/// Daemons that are asked at the same time, each by a thread, as the calls wait more than they work.
constexpr std::size_t callsAtOnce = 32;
constexpr const char *keyVariable = "SASSAFRASVANE_OPERATOR_KEY";

/// One run of the program.
class CtlRun
{
public:
    CtlRun(const CtlOptions &options, const CtlSurroundings &surroundings)
        : options_(options), out_(surroundings.out), err_(surroundings.err), surroundings_(surroundings)
    {
    }

    CtlExit run()
    {
        if (options_.command == "check") {
            return check();
        }
        if (options_.command == "diff") {
            return diff();
        }
        if (options_.command == "why" && !options_.logPaths.empty()) {
            return whyFromLogs();
        }
        return addSettings() ? ask() : CtlExit::Failed;
    }

private:
    std::optional<std::string> readFile(const std::string &path)
    {
        const Result<std::string> text = readTextFile(path);
        if (text.has_error()) {
            err_ << text.error().detail << '\n';
            return std::nullopt;
        }
        return text.value();
    }

    CtlExit check()
    {
        const std::optional<std::string> text = readFile(options_.arguments[0]);
        if (!text) {
            return CtlExit::Failed;
        }
        const DocumentKind kind = options_.kind.value_or(guessKind(*text));
        const std::string faults = checkDocument(kind, *text);
        if (options_.isJson) {
            const Json result = {{"kind", name(kind)}, {"valid", faults.empty()}, {"faults", linesOf(faults)}};
            out_ << jsonText(result) << '\n';
        } else if (faults.empty()) {
            out_ << options_.arguments[0] << ": valid " << name(kind) << '\n';
        } else {
            err_ << options_.arguments[0] << ": invalid " << name(kind) << '\n' << faults << '\n';
        }
        return faults.empty() ? CtlExit::Ok : CtlExit::Failed;
    }

    CtlExit diff()
    {
        const std::optional<std::string> from = readFile(options_.arguments[0]);
        const std::optional<std::string> to = readFile(options_.arguments[1]);
        if (!from || !to) {
            return CtlExit::Failed;
        }
        const DocumentKind kind = options_.kind.value_or(guessKind(*to));
        const Result<std::vector<std::string>> changes = differences(kind, *from, *to);
        if (changes.has_error()) {
            err_ << changes.error().detail << '\n';
            return CtlExit::Failed;
        }
        if (options_.isJson) {
            out_ << jsonText(Json{{"kind", name(kind)}, {"changes", changes.value()}}) << '\n';
            return CtlExit::Ok;
        }
        for (const std::string &change : changes.value()) {
            out_ << change << '\n';
        }
        out_ << (changes.value().empty() ? "nothing changes\n" : "");
        return CtlExit::Ok;
    }

    CtlExit whyFromLogs()
    {
        std::vector<LogText> logs;
        for (const std::string &path : options_.logPaths) {
            std::ifstream file(path, std::ios::binary);
            if (!file) {
                err_ << path << ": cannot be read\n";
                return CtlExit::Failed;
            }
            logs.push_back({path, std::string(std::istreambuf_iterator<char>(file), {})});
        }
        const std::string &request = options_.arguments[0];
        const RequestStory story = requestStory(request, logs);
        if (options_.isJson) {
            for (const LogLine &line : story.lines) {
                out_ << line.json << '\n';
            }
        } else {
            out_ << requestStoryText(request, story);
        }
        return story.lines.empty() ? CtlExit::Failed : CtlExit::Ok;
    }

    /// Takes the daemon and the key from the settings file, if one is given.
    bool addSettings()
    {
        daemons_ = options_.daemons;
        key_ = surroundings_.environment(keyVariable);
        if (options_.settingsPath.empty()) {
            return true;
        }
        const Result<ProcessSettings> settings = readProcessSettingsFile(options_.settingsPath);
        if (settings.has_error()) {
            err_ << options_.settingsPath << ":\n" << settings.error().detail << '\n';
            return false;
        }
        key_ = settings.value().operatorKey;
        if (daemons_.empty()) {
            daemons_.push_back(settings.value().operators);
        }
        return true;
    }

    CtlExit ask()
    {
        if (options_.command == "status") {
            return status();
        }
        if (options_.command == "watch") {
            return watch();
        }
        if (options_.command == "entries") {
            return show<EntriesReply>([](const ControlClient &client) { return client.entries(); }, entriesText);
        }
        if (options_.command == "drain") {
            return drain();
        }
        const WhySubject subject = WhySubject::parse(options_.arguments[0]);
        return show<WhyReply>([&subject](const ControlClient &client) { return client.why(subject); }, whyText);
    }

    CtlExit status()
    {
        return show<DaemonStatus>([](const ControlClient &client) { return client.status(); }, statusText);
    }

    CtlExit watch()
    {
        CtlExit last = CtlExit::Ok;
        for (std::uint64_t round = 0; options_.rounds == 0 || round < options_.rounds; ++round) {
            if (round > 0) {
                surroundings_.pause(options_.interval);
                out_ << (options_.isJson ? "" : "\n");
            }
            last = status();
            out_.flush();
        }
        return last;
    }

    CtlExit drain()
    {
        if (key_.empty()) {
            err_ << "drain needs the operators' key: --settings FILE or " << keyVariable << '\n';
            return CtlExit::Usage;
        }
        return show<DrainReply>([this](const ControlClient &client) { return client.drain(key_); }, drainText);
    }

    /// Asks all daemons and shows their replies, then those that gave none.
    template<typename Message, typename Call, typename Text>
    CtlExit show(const Call &call, const Text &text)
    {
        std::vector<std::optional<Result<Message>>> results(daemons_.size());
        std::atomic<std::size_t> next{0};
        const auto work = [this, &results, &call, &next] {
            for (std::size_t i = next++; i < results.size(); i = next++) {
                results[i] = call(ControlClient(daemons_[i], options_.timeout));
            }
        };
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < std::min(callsAtOnce, results.size()); ++i) {
            threads.emplace_back(work);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::vector<FromDaemon<Message>> replies;
        CtlExit exit = CtlExit::Ok;
        for (std::size_t i = 0; i < results.size(); ++i) {
            if (results[i]->has_value()) {
                replies.push_back({daemons_[i], std::move(results[i]->value())});
                continue;
            }
            exit = worse(exit, results[i]->error());
            err_ << results[i]->error().message() << '\n';
        }
        if (options_.isJson) {
            showJson(replies, results);
        } else if (!replies.empty()) {
            out_ << text(replies);
        }
        return exit;
    }

    // A daemon that answers but refuses is a failure; one that does not answer is missing.
    static CtlExit worse(CtlExit exit, const Error &error)
    {
        const bool isMissing = error.errc() == Errc::ConnectFailed || error.errc() == Errc::Timeout;
        return exit == CtlExit::Failed || !isMissing ? CtlExit::Failed : CtlExit::Missing;
    }

    template<typename Message>
    void showJson(const std::vector<FromDaemon<Message>> &replies,
                  const std::vector<std::optional<Result<Message>>> &results)
    {
        for (const FromDaemon<Message> &reply : replies) {
            out_ << jsonText(Json{{"daemon", reply.daemon.toString()}, {"reply", Json::parse(toJson(reply.message))}})
                 << '\n';
        }
        for (const std::optional<Result<Message>> &result : results) {
            if (result->has_error()) {
                const Error &error = result->error();
                out_ << jsonText(Json{{"daemon", error.peer}, {"error", name(error.errc())}, {"detail", error.detail}})
                     << '\n';
            }
        }
    }

    static std::string jsonText(const Json &json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

    static std::vector<std::string> linesOf(const std::string &text)
    {
        std::vector<std::string> lines;
        for (std::size_t begin = 0; begin < text.size();) {
            const std::size_t end = std::min(text.find('\n', begin), text.size());
            lines.push_back(text.substr(begin, end - begin));
            begin = end + 1;
        }
        return lines;
    }

    const CtlOptions &options_;
    std::ostream &out_;
    std::ostream &err_;
    const CtlSurroundings &surroundings_;
    std::vector<Address> daemons_;
    std::string key_;
};

} // namespace

CtlExit runCtl(const CtlOptions &options, const CtlSurroundings &surroundings)
{
    if (options.isHelp) {
        surroundings.out << ctlUsage();
        return CtlExit::Ok;
    }
    if (options.isVersion) {
        surroundings.out << "sassafrasvanectl " << surroundings.version << '\n';
        return CtlExit::Ok;
    }
    return CtlRun(options, surroundings).run();
}

} // namespace sassafrasvane
