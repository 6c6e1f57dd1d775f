#include "bodyreader.h"

#include <cpprest/rawptrstream.h>
#include <memory>
#include <vector>

namespace whintack::http::Internal {

namespace {

/// Reads one message body in chunks.
class BodyReader : public std::enable_shared_from_this<BodyReader> {
public:
  BodyReader(const concurrency::streams::istream &Stream, size_t MaxBytes)
      : Stream(Stream), MaxBytes(MaxBytes), Chunk(ChunkBytes) {}

  pplx::task<BodyReadResult> readNextChunk() {
    auto Self = this->shared_from_this();
    return this->Stream.streambuf()
        .getn(this->Chunk.data(), this->Chunk.size())
        .then([Self](size_t Count) { return Self->processChunk(Count); });
  }

private:
  pplx::task<BodyReadResult> processChunk(size_t Count) {
    this->Body.Bytes.append(reinterpret_cast<const char *>(this->Chunk.data()),
                            Count);
    if (this->Body.Bytes.size() > this->MaxBytes)
      this->Body.Status = BodyReadStatus::TooLarge;
    if (Count == 0 || this->Body.Status == BodyReadStatus::TooLarge)
      return pplx::task_from_result(std::move(this->Body));
    return this->readNextChunk();
  }

  static constexpr size_t ChunkBytes = 16U << 10U;

  concurrency::streams::istream Stream;
  size_t MaxBytes;
  std::vector<uint8_t> Chunk;
  BodyReadResult Body;
};

} // namespace

pplx::task<BodyReadResult> readBody(web::http::details::http_msg_base &Message,
                                    size_t MaxBytes) {
  auto Reader = std::make_shared<BodyReader>(Message.instream(), MaxBytes);
  return Reader->readNextChunk();
}

} // namespace whintack::http::Internal
