#include "settings/processsettings.h"
#include "settings/published.h"
#include "settings/schema.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace sassafrasvane
{

namespace
{

using Json = nlohmann::json;
using Members = std::set<std::string>;

/// What a row of a table says.
struct DocumentedMember {
    std::string heading;
    std::string name;
    bool isRequired = false;
};

std::string fileText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    BOOST_REQUIRE_MESSAGE(file, path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

const std::filesystem::path source = SASSAFRASVANE_SOURCE_DIR;

/// The faults that the reader of \p kind finds in \p text; empty if none.
std::string faultsOf(DocumentKind kind, const std::string &text)
{
    const auto detailOf = [](const auto &result) { return result.has_error() ? result.error().detail : std::string(); };
    switch (kind) {
    case DocumentKind::Process:
        return detailOf(readProcessSettings(text));
    case DocumentKind::Configuration:
        return detailOf(readConfiguration(text, ConfigVersion{1}));
    case DocumentKind::ShardMap:
        return detailOf(readShardMap(text, ConfigVersion{1}));
    case DocumentKind::VmList:
        return detailOf(readVmList(text, ConfigVersion{1}));
    }
    return "unknown kind";
}

/// A valid document that has every member of its kind.
Json completeDocument(DocumentKind kind)
{
    switch (kind) {
    case DocumentKind::Process:
        return Json::parse(R"({"callers": "127.0.0.1:1", "peers": "127.0.0.1:2", "operators": "127.0.0.1:3",
            "platform": "127.0.0.1:4", "failureDomain": "a", "region": "r", "peerKeys": ["0123456789abcdef"],
            "operatorKey": "0123456789abcdef", "logFile": "l", "logLevel": "warn", "traceFile": "t",
            "traceSampling": 0.5})");
    case DocumentKind::Configuration:
        return Json::parse(R"({"classes": [{"name": "c", "backEnd": "b", "latencyMs": 80, "percentile": 99,
            "completeness": 1, "extraLoadPercent": 5, "givesWay": "latency", "idempotent": false}],
            "backEnds": [{"name": "b", "slots": 2, "connections": 25, "connectionCostMs": 6, "coldAllowance": 1, "warmUpMs": 500}],
            "domainsOut": ["a"]})");
    case DocumentKind::ShardMap:
        return Json::parse(R"({"backEnds": [{"name": "b", "searchers": [{"id": 1, "address": "127.0.0.1:1",
            "failureDomain": "a", "state": "live"}], "versions": [{"index": 1,
            "parts": [{"id": 1, "begin": 0, "end": 9, "searchers": [1]}]}]}]})");
    case DocumentKind::VmList:
        return Json::parse(R"({"vms": [{"peer": "127.0.0.1:1", "callers": "127.0.0.1:2", "failureDomain": "a",
            "region": "r", "state": "leaving"}]})");
    }
    return {};
}

/// The rows of the tables of docs/SETTINGS.md; headings are "kind `pointer`".
std::vector<DocumentedMember> documentedMembers()
{
    std::vector<DocumentedMember> rows;
    std::istringstream page(fileText(source / "docs" / "SETTINGS.md"));
    std::string heading;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("### ")) {
            heading = line.substr(4);
        } else if (line.starts_with("| `")) {
            const std::size_t end = line.find('`', 3);
            const bool isRequired = line.compare(end, 8, "` | yes ") == 0;
            BOOST_TEST((isRequired || line.compare(end, 7, "` | no ") == 0), line);
            rows.push_back({heading, line.substr(3, end - 3), isRequired});
        }
    }
    return rows;
}

std::string headingOf(const SchemaObject &object)
{
    return std::string(name(object.document)) + " `" + std::string(object.pointer) + '`';
}

std::string firstElement(std::string pointer)
{
    std::replace(pointer.begin(), pointer.end(), '*', '0');
    return pointer;
}

} // namespace

BOOST_AUTO_TEST_CASE(pageAndCodeNameTheSameMembers)
{
    Members known;
    for (const SchemaObject &object : schema()) {
        for (const std::string_view member : object.members) {
            known.insert(headingOf(object) + ' ' + std::string(member));
        }
    }
    Members documented;
    for (const DocumentedMember &row : documentedMembers()) {
        BOOST_TEST(documented.insert(row.heading + ' ' + row.name).second, row.heading << ' ' << row.name);
    }
    BOOST_TEST(documented == known, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(pageSaysWhichMembersAreRequired)
{
    for (const DocumentedMember &row : documentedMembers()) {
        const auto object = std::find_if(schema().begin(), schema().end(), [&row](const SchemaObject &candidate) {
            return headingOf(candidate) == row.heading;
        });
        BOOST_REQUIRE_MESSAGE(object != schema().end(), row.heading);
        Json document = completeDocument(object->document);
        document[Json::json_pointer(firstElement(std::string(object->pointer)))].erase(row.name);
        const std::string missing = '/' + row.name + ": is missing";
        BOOST_TEST((faultsOf(object->document, document.dump()).find(missing) != std::string::npos) == row.isRequired,
                   row.heading << ' ' << row.name);
    }
}

BOOST_AUTO_TEST_CASE(everyKnownMemberIsReadAndChecked)
{
    for (const SchemaObject &object : schema()) {
        const Json complete = completeDocument(object.document);
        BOOST_REQUIRE_EQUAL(faultsOf(object.document, complete.dump()), "");
        for (const std::string_view member : object.members) {
            const std::string pointer = firstElement(std::string(object.pointer)) + '/' + std::string(member);
            Json damaged = complete;
            BOOST_REQUIRE_MESSAGE(damaged.contains(Json::json_pointer(pointer)), pointer);
            damaged[Json::json_pointer(pointer)] = Json::object();
            const std::string faults = faultsOf(object.document, damaged.dump());
            BOOST_TEST(faults.find(pointer + ": ") != std::string::npos, pointer << " in " << faults);
        }
    }
}

BOOST_AUTO_TEST_CASE(everyObjectRejectsUnknownMembers)
{
    for (const SchemaObject &object : schema()) {
        const std::string pointer = firstElement(std::string(object.pointer)) + '/' + std::string(object.members[0]);
        Json document = completeDocument(object.document);
        document[Json::json_pointer(pointer + 'x')] = 1;
        const std::string expected
            = pointer + "x: is unknown; the nearest known name is \"" + std::string(object.members[0]) + '"';
        BOOST_TEST(faultsOf(object.document, document.dump()) == expected);
    }
}

BOOST_AUTO_TEST_CASE(examplesAreValid)
{
    std::size_t count = 0;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator(source / "examples")) {
        const std::string stem = entry.path().stem().string();
        const std::string kindName = stem.substr(stem.find('-') + 1);
        for (const SchemaObject &object : schema()) {
            if (object.pointer.empty() && kindName == name(object.document)) {
                BOOST_TEST(faultsOf(object.document, fileText(entry.path())) == "", stem);
                ++count;
            }
        }
    }
    BOOST_TEST(count == 6U);
}

BOOST_AUTO_TEST_CASE(duplicatesAndDepthAreFaults)
{
    const std::string twice = faultsOf(DocumentKind::Configuration, R"({"classes": [], "backEnds": [{"name": "b",
        "slots": 2, "slots": 20, "connections": 25, "connectionCostMs": 6, "coldAllowance": 1}]})");
    BOOST_TEST(twice == "/backEnds/0/slots: appears twice");
    const std::string deep = "{\"classes\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
    BOOST_TEST(faultsOf(DocumentKind::Configuration, deep).starts_with("/: is nested deeper than"));
    const std::string large(2'000'000, ' ');
    BOOST_TEST(faultsOf(DocumentKind::Configuration, large).find("at most 1048576") != std::string::npos);
    Json sameAddress = completeDocument(DocumentKind::VmList);
    sameAddress["vms"][0]["callers"] = sameAddress["vms"][0]["peer"];
    BOOST_TEST(faultsOf(DocumentKind::VmList, sameAddress.dump()) == "/vms/0/callers: \"127.0.0.1:1\" appears twice");
}

BOOST_AUTO_TEST_CASE(faultsAreBoundedAndNeverShowKeys)
{
    Json many = completeDocument(DocumentKind::Configuration);
    for (int i = 0; i < 5'000; ++i) {
        many["classes"].push_back({{"name", "c" + std::to_string(i)}});
    }
    const std::string faults = faultsOf(DocumentKind::Configuration, many.dump());
    BOOST_TEST(std::count(faults.begin(), faults.end(), '\n') == 100);
    BOOST_TEST(faults.find("more faults") != std::string::npos);
    Json process = completeDocument(DocumentKind::Process);
    process["peerKeys"] = {"short-secret", Json::array({"nested-secret"})};
    process["operatorKey"] = Json::array({"other-secret"});
    BOOST_TEST(faultsOf(DocumentKind::Process, process.dump()).find("secret") == std::string::npos);
}

RC_BOOST_PROP(damagedDocumentsAreNeverMisread, (std::uint8_t kindNumber, std::size_t position, char byte))
{
    const DocumentKind kind = static_cast<DocumentKind>(kindNumber % 4);
    std::string text = completeDocument(kind).dump();
    text[position % text.size()] = byte;
    // Whatever is accepted must be JSON with comments that differs in one byte only.
    if (faultsOf(kind, text).empty()) {
        RC_ASSERT(Json::accept(text, true));
    }
}

} // namespace sassafrasvane
