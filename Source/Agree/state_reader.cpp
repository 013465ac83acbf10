#include "Agree/state_reader.h"

namespace sagesaddle {

namespace {

// Reads one batch; false where the end of the stream was reached.
bool readBatch(log_client& log, const std::string& stream, state_replica& replica,
    const state_replica::observer& observe)
{
    try {
        const log_batch batch = log.read(stream, replica.nextOffsetToRead(), recordsPerRead, milliseconds(0));
        replica.foldRecords(batch.first, batch.records, observe);
        return batch.next < batch.end;
    } catch (const log_error& error) {
        if (error.failure() != log_failure::Lapsed)
            throw;
        replica.startSnapshotSearch(error.earliest());
        return true;
    }
}

} // namespace

void readToEnd(log_client& log, const std::string& stream, state_replica& replica,
    const state_replica::observer& observe)
{
    while (readBatch(log, stream, replica, observe)) { }
    if (replica.isSearchingSnapshot())
        throw std::runtime_error("the log's stream " + stream
            + " has lost its first records and holds no snapshot "
              "of them; start an entry that still has the state, so that it appends one");
}

} // namespace sagesaddle
