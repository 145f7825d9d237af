#pragma once

#include <span>
#include <string_view>

/// \file
/// The names of all members that settings files and published values may have.

namespace sassafrasvane
{

/// The kinds of JSON documents that the system reads.
enum class DocumentKind {
    Process,       ///< Settings of one process.
    Configuration, ///< Published configuration.
    ShardMap,      ///< Published shard map.
    VmList,        ///< Published list of VMs.
};

/// Name of \p kind on the command line, such as "shardmap".
const char *name(DocumentKind kind) noexcept;

/// One kind of JSON object within a document.
struct SchemaObject {
    DocumentKind document = DocumentKind::Process;
    /// Where it stands in the document: a JSON pointer in which * is any position of an array; "" for the whole.
    std::string_view pointer;
    std::span<const std::string_view> members;
};

/// All kinds of objects. The readers accept exactly their members.
std::span<const SchemaObject> schema() noexcept;

/// The members of the object of \p document at \p pointer; empty if there is no such object.
std::span<const std::string_view> knownMembers(DocumentKind document, std::string_view pointer) noexcept;

} // namespace sassafrasvane
