#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Reads and writes single MessagePack integers and byte strings. No datagram can make the reader allocate memory.

namespace sassafrasvane::detail
{

/// Reads MessagePack integers and byte strings one after the other. After the first error every read returns 0 or an
/// empty string.
///
/// \code
/// DatagramReader reader(bytes);
/// const std::uint64_t number = reader.number(maximum);
/// if (!reader.isComplete()) { ... }
/// \endcode
class DatagramReader
{
public:
    explicit DatagramReader(std::string_view bytes) noexcept : bytes_(bytes) { }

    /// Reads the next value, which must be a non-negative integer of at most \p maximum.
    std::uint64_t number(std::uint64_t maximum = UINT64_MAX)
    {
        Visitor visitor;
        if (!next(visitor) || !visitor.isNumber || visitor.number > maximum) {
            isGood_ = false;
            return 0;
        }
        return visitor.number;
    }

    /// Reads the next value, which must be a byte string of at most \p maximum bytes.
    /// \return a view into the datagram.
    std::string_view bytes(std::size_t maximum)
    {
        Visitor visitor;
        if (!next(visitor) || visitor.isNumber || visitor.bytes.size() > maximum) {
            isGood_ = false;
            return {};
        }
        return visitor.bytes;
    }

    /// False after the first error.
    bool isGood() const noexcept { return isGood_; }

    /// True if the whole datagram was read without an error.
    bool isComplete() const noexcept { return isGood_ && offset_ == bytes_.size(); }

private:
    /// Accepts one integer or byte string; any other type stops the parser.
    // NOLINTBEGIN(readability-identifier-naming): msgpack calls the functions by these names.
    struct Visitor : msgpack::null_visitor {
        bool isNumber = false;
        std::uint64_t number = 0;
        std::string_view bytes;

        bool visit_positive_integer(std::uint64_t value)
        {
            isNumber = true;
            number = value;
            return true;
        }
        bool visit_bin(const char *value, std::uint32_t size)
        {
            bytes = {value, size};
            return true;
        }
        bool visit_nil() { return false; }
        bool visit_boolean(bool) { return false; }
        bool visit_negative_integer(std::int64_t) { return false; }
        bool visit_float32(float) { return false; }
        bool visit_float64(double) { return false; }
        bool visit_str(const char *, std::uint32_t) { return false; }
        bool visit_ext(const char *, std::uint32_t) { return false; }
        bool start_array(std::uint32_t) { return false; }
        bool start_map(std::uint32_t) { return false; }
    };
    // NOLINTEND(readability-identifier-naming)

    bool next(Visitor &visitor)
    {
        return isGood_ && offset_ < bytes_.size() && msgpack::parse(bytes_.data(), bytes_.size(), offset_, visitor);
    }

    std::string_view bytes_;
    std::size_t offset_ = 0;
    bool isGood_ = true;
};

/// Appends MessagePack values to a string.
class DatagramWriter
{
public:
    explicit DatagramWriter(std::string &out) : sink_{out}, packer_(sink_) { }

    void number(std::uint64_t value) { packer_.pack_uint64(value); }

    void bytes(std::string_view value)
    {
        packer_.pack_bin(static_cast<std::uint32_t>(value.size()));
        packer_.pack_bin_body(value.data(), static_cast<std::uint32_t>(value.size()));
    }

private:
    struct Sink {
        std::string &out;

        void write(const char *data, std::size_t size) { out.append(data, size); }
    };

    Sink sink_;
    msgpack::packer<Sink> packer_;
};

} // namespace sassafrasvane::detail
