#pragma once

#include <msgpack.hpp>

#include <stdexcept>
#include <string>
#include <vector>

/// \file
/// Typed access to a decoded MessagePack array.

namespace sassafrasvane::detail
{

/// Reads the elements of a MessagePack array in order; throws on any mismatch.
class ArrayReader
{
public:
    ArrayReader(const msgpack::object &object, std::size_t size) : array_(elements(object))
    {
        if (array_.size != size) {
            throw std::runtime_error("an array has " + std::to_string(array_.size) + " elements in place of "
                                     + std::to_string(size));
        }
    }

    const msgpack::object &next() { return array_.ptr[position_++]; }

    template<typename T>
    T read()
    {
        return next().as<T>();
    }

    template<typename Id>
    Id id()
    {
        return Id{next().as<typename Id::Value>()};
    }

    template<typename Enum>
    Enum choice(Enum first, Enum last)
    {
        const int value = next().as<int>();
        if (value < static_cast<int>(first) || value > static_cast<int>(last)) {
            throw std::runtime_error("the number " + std::to_string(value) + " names no value");
        }
        return static_cast<Enum>(value);
    }

    template<typename T, typename Read>
    std::vector<T> list(Read read)
    {
        const msgpack::object_array &items = elements(next());
        std::vector<T> values;
        values.reserve(items.size);
        for (std::uint32_t i = 0; i < items.size; ++i) {
            values.push_back(read(items.ptr[i]));
        }
        return values;
    }

private:
    static const msgpack::object_array &elements(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY) {
            throw std::runtime_error("an array is missing");
        }
        return object.via.array;
    }

    const msgpack::object_array &array_;
    std::size_t position_ = 0;
};

} // namespace sassafrasvane::detail
