#pragma once

#include "byte_reader.h"
#include "byte_writer.h"

#include "plantainpitch/log/producer_window.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace plantainpitch::detail {

/// First byte of every snapshot; to be raised with each change of the encoding.
constexpr std::uint8_t snapshotVersion = 1;

/// Elements of a map in the order of their keys: equal states give equal bytes.
template <class map>
std::vector<const typename map::value_type *> sorted(const map &elements)
{
    std::vector<const typename map::value_type *> order;
    order.reserve(elements.size());
    for (const auto &element : elements)
        order.push_back(&element);
    std::sort(order.begin(), order.end(),
              [](const auto *a, const auto *b) { return a->first < b->first; });
    return order;
}

/// Inserts an element whose key must follow all keys before.
template <class map, class value>
void insertNext(const byte_reader &in, map &elements, typename map::key_type key, value element,
                typename map::key_type &last)
{
    in.check(elements.empty() || last < key, "keys are not in order");
    last = key;
    elements.emplace(std::move(key), std::move(element));
}

/// Writes the version and the next offset.
void writeHead(byte_writer &out, std::uint64_t nextOffset);
/// Checks the version and that the state ends at \a through; returns the next offset.
std::uint64_t readHead(byte_reader &in, std::uint64_t through);

void write(byte_writer &out, const producer_window &window);
void read(byte_reader &in, producer_window &window, std::uint64_t nextOffset);

} // namespace plantainpitch::detail
