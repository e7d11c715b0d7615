#pragma once

#include "envelope.h"
#include "plantain_generated.h"

#include "plantainpitch/model/log_position.h"
#include "plantainpitch/model/request_id.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/model/task_id.h"

#include <string>

namespace plantainpitch::wire::detail {

/// Reads fields of a verified FlatBuffer, and throws if it would copy more bytes in total than the
/// buffer holds: many offsets may refer to the same data, so that a small frame could otherwise
/// expand without limit.
class field_reader
{
public:
    explicit field_reader(std::size_t payloadBytes)
        : m_bytesLeft(payloadBytes)
    {}

    std::string text(const flatbuffers::String *value)
    {
        if (!value)
            return {};
        countBytes(value->size());
        return value->str();
    }

    std::string bytes(const flatbuffers::Vector<std::uint8_t> *value)
    {
        if (!value)
            return {};
        countBytes(value->size());
        return { reinterpret_cast<const char *>(value->data()), value->size() };
    }

    /// Counts the minimum size of an element in a vector of tables: its offset and its reference to
    /// a vtable.
    void countElement() { countBytes(8); }

    template <typename Model, typename Wire>
    Model enumeration(Wire value)
    {
        if (value < Wire::MIN || value > Wire::MAX)
            throwMalformed("unknown enumeration value");
        return static_cast<Model>(value);
    }

    resources resourceAmounts(const Resources *r)
    {
        require(r);
        return { .processorsMilli = r->processors_milli(),
                 .memoryBytes = r->memory_bytes(),
                 .accelerators = r->accelerators() };
    }

    request_id requestId(const RequestId *id)
    {
        require(id);
        return { .entry = id->entry(), .number = id->number() };
    }

    task_id taskId(const TaskId *t)
    {
        require(t);
        return { .job = text(t->job()), .index = t->index() };
    }

    static void require(const void *field)
    {
        if (!field)
            throwMalformed("missing required field");
    }

private:
    void countBytes(std::size_t count)
    {
        if (count > m_bytesLeft)
            throwMalformed("fields share data");
        m_bytesLeft -= count;
    }

    std::size_t m_bytesLeft;
};

} // namespace plantainpitch::wire::detail
