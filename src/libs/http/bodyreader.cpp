#include "bodyreader.h"

#include <cpprest/rawptrstream.h>
#include <memory>
#include <vector>

namespace whintack::http::Internal {

namespace {

/// Reads one message body in chunks.
///
/// The chunks are read in a loop that completes one event at the end. A chain
/// of tasks, each returning the next, would copy the whole body once or more
/// for each chunk when it unwinds.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
  BodyReader(const concurrency::streams::istream &Stream, size_t MaxBytes,
             std::function<void()> OnPart)
      : Stream(Stream), MaxBytes(MaxBytes), OnPart(std::move(OnPart)),
        Chunk(ChunkBytes) {}

  pplx::task<BodyReadResult> read() {
    this->readNextChunk();
    return pplx::task<void>(this->Ended)
        .then([Self = this->shared_from_this()] {
          return std::move(Self->Body);
        });
  }

private:
  void readNextChunk() {
    auto Self = this->shared_from_this();
    this->Stream.streambuf()
        .getn(this->Chunk.data(), this->Chunk.size())
        .then([Self](const pplx::task<size_t> &Reading) {
          try {
            Self->processChunk(Reading.get());
          } catch (...) {
            Self->Ended.set_exception(std::current_exception());
          }
        });
  }

  void processChunk(size_t Count) {
    this->Body.Bytes.append(reinterpret_cast<const char *>(this->Chunk.data()),
                            Count);
    if (Count > 0 && this->OnPart)
      this->OnPart();
    if (this->Body.Bytes.size() > this->MaxBytes)
      this->Body.Status = BodyReadStatus::TooLarge;
    if (Count == 0 || this->Body.Status == BodyReadStatus::TooLarge)
      this->Ended.set();
    else
      this->readNextChunk();
  }

  static constexpr size_t ChunkBytes = 16U << 10U;

  concurrency::streams::istream Stream;
  size_t MaxBytes;
  std::function<void()> OnPart;
  std::vector<uint8_t> Chunk;
  BodyReadResult Body;
  pplx::task_completion_event<void> Ended;
};

} // namespace

pplx::task<BodyReadResult> readBody(web::http::details::http_msg_base &Message,
                                    size_t MaxBytes,
                                    std::function<void()> OnPart) {
  return std::make_shared<BodyReader>(Message.instream(), MaxBytes,
                                      std::move(OnPart))
      ->read();
}

} // namespace whintack::http::Internal
