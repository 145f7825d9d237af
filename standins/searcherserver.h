#pragma once

#include "httpserver.h"
#include "searcher.h"

/// \file
/// The HTTP face of one stand-in searcher.

namespace sassafrasvane
{

/// Serves /search, /run, /cancel and /load of one StandinSearcher.
class SearcherServer
{
public:
    SearcherServer(const SearcherSettings &settings, std::uint64_t seed);
    ~SearcherServer();

    /// Listens at the address of the settings; at any free port if its port is 0. \return the address, or port 0 if it
    /// cannot be bound.
    Address start();

    StandinSearcher &searcher() noexcept { return searcher_; }

    /// Takes the settings that control sends; absent ones stay.
    void control(const nlohmann::json &json);

    /// What this searcher saw.
    nlohmann::json records() const;

    void resetRecords();

private:
    void search(const httplib::Request &request, httplib::Response &response);
    void runOnce(const httplib::Request &request, httplib::Response &response);

    StandinSearcher searcher_;
    HttpServer http_;
};

} // namespace sassafrasvane
