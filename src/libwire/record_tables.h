#pragma once

#include "field_reader.h"
#include "field_writer.h"

#include "plantainpitch/log/log_record.h"
#include "plantainpitch/log/record_batch.h"

namespace plantainpitch::wire::detail {

offset<JobSubmitted> write(builder &b, const job_submitted &r);
offset<Record> write(builder &b, const log_record &record);
offset<RecordBatch> write(builder &b, const record_batch &batch);

job_submitted read(field_reader &in, const JobSubmitted &r);
log_record read(field_reader &in, const Record &record);
record_batch read(field_reader &in, const RecordBatch &batch);

} // namespace plantainpitch::wire::detail
