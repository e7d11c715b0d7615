#include "fake_log.h"

namespace plantainpitch::matrix {

duration fake_log::jitter()
{
    return delay / 2 + duration(m_random() % (delay.count() + 1));
}

void fake_log::append(const append_call &call, std::function<void(append_answer)> done)
{
    m_queue.after(jitter(), [this, call, done = std::move(done)] {
        append_answer answer{ .callId = call.callId, .stream = call.stream };
        bool lost = false;
        if (!down) {
            store(call, answer);
            lost = loseAppendAnswers > 0;
            loseAppendAnswers -= lost ? 1 : 0;
            answer.ok = !lost;
        }
        m_queue.after(jitter(), [answer, done] { done(answer); });
    });
}

void fake_log::store(const append_call &call, append_answer &answer)
{
    if (onStored)
        onStored(call.batch);
    stream &target = m_streams[call.stream];
    answer.offset = target.first + target.batches.size();
    target.batches.push_back({ m_queue.now(), { answer.offset, call.batch } });
    while (target.batches.size() > retainedBatches) {
        target.batches.erase(target.batches.begin());
        ++target.first;
    }
}

void fake_log::read(const std::string &reader, const read_call &call,
                    std::function<void(read_answer)> done)
{
    m_queue.after(jitter(), [this, reader, call, done = std::move(done)] {
        const read_answer answer = load(reader, call);
        m_queue.after(jitter(), [answer, done] { done(answer); });
    });
}

read_answer fake_log::load(const std::string &reader, const read_call &call)
{
    read_answer answer{ .callId = call.callId, .stream = call.stream };
    if (down)
        return answer;
    const bool lags = readLag.count() > 0 && (laggingReader.empty() || laggingReader == reader);
    const stream &source = m_streams[call.stream];
    answer.ok = true;
    answer.earliest = source.first;
    answer.next = source.first;
    for (const stored &item : source.batches) {
        if (lags && item.at > m_queue.now() - readLag)
            break;
        answer.next = item.batch.offset + 1;
        if (item.batch.offset >= call.fromOffset && answer.batches.size() < call.maxBatches)
            answer.batches.push_back(item.batch);
    }
    return answer;
}

} // namespace plantainpitch::matrix
