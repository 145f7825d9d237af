#pragma once

#include "searchmessages.h"
#include "shardmap/shardmap.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

/// \file
/// A searcher in virtual time.

namespace sassafrasvane
{

/// Limits of each fake searcher.
inline constexpr std::uint32_t searcherSlots = 4;
inline constexpr std::uint32_t searcherColdAllowance = 1;

/// Holds versions, runs calls until it is told how they end, and counts what runs.
class FakeSearcher
{
public:
    FakeSearcher(SearcherId id, std::string failureDomain) : id_(id), failureDomain_(std::move(failureDomain)) { }

    SearcherId id() const noexcept { return id_; }
    const std::string &failureDomain() const noexcept { return failureDomain_; }
    Incarnation incarnation() const noexcept { return incarnation_; }
    bool isDown() const noexcept { return isDown_; }
    std::size_t running() const noexcept { return running_.size(); }
    const std::vector<CallToServer> &runningCalls() const noexcept { return running_; }

    void load(const IndexMap &index) { versions_[index.version] = &index; }
    void unload(IndexVersion version) { versions_.erase(version); }

    /// Takes a call. \return its end if it does not run.
    std::optional<EndOfCall> take(const CallToServer &call);

    /// Ends the running call at \p position as \p kind says.
    EndOfCall end(std::size_t position, AnswerKind kind);

    /// Ends the calls whose deadline has passed.
    std::vector<EndOfCall> dropExpired(TimePoint now);

    /// Begins a new, cold life. \return the ends of what ran, as the holders see them.
    std::vector<EndOfCall> restart(TimePoint now);

    void setDown(bool isDown) noexcept { isDown_ = isDown; }

    /// Calls that it can bear at a time by now: the cold allowance, doubled by every few answers of this life.
    std::size_t bearable() const noexcept;

    /// Running calls whose holder knows of this life or had the time to find out.
    std::size_t informedRunning() const noexcept;

    /// When this life began.
    TimePoint restartedAt() const noexcept { return restartedAt_; }

private:
    EndOfCall endOf(const CallToServer &call, CallOutcome outcome, Errc error) const;
    bool holds(const SearchCall &call) const;
    static PartResult resultOf(const CallToServer &call, const IndexMap &index, const Part &part);

    SearcherId id_;
    std::string failureDomain_;
    Incarnation incarnation_{1};
    bool isDown_ = false;
    std::size_t answered_ = 0;
    TimePoint restartedAt_;
    std::map<IndexVersion, const IndexMap *> versions_;
    std::vector<CallToServer> running_;
};

} // namespace sassafrasvane
