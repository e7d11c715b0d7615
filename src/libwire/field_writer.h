#pragma once

#include "plantain_generated.h"

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/request_id.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <string>
#include <vector>

namespace plantainpitch::wire::detail {

using builder = flatbuffers::FlatBufferBuilder;
template <typename T>
using offset = flatbuffers::Offset<T>;
using text_offset = offset<flatbuffers::String>;
using bytes_offset = offset<flatbuffers::Vector<std::uint8_t>>;

inline text_offset text(builder &b, const std::string &value)
{
    return b.CreateString(value);
}

inline bytes_offset bytes(builder &b, const std::string &value)
{
    return b.CreateVector(reinterpret_cast<const std::uint8_t *>(value.data()), value.size());
}

/// Converts an enumerator to the schema's enumeration, which declares its values in the same order.
template <typename Wire, typename Model>
Wire toWire(Model value)
{
    return static_cast<Wire>(value);
}

inline Resources toWire(const resources &r)
{
    return { r.processorsMilli, r.memoryBytes, r.accelerators };
}

inline RequestId toWire(const request_id &id)
{
    return { id.entry, id.number };
}

inline offset<TaskId> write(builder &b, const task_id &task)
{
    return CreateTaskId(b, text(b, task.job), task.index);
}

} // namespace plantainpitch::wire::detail
