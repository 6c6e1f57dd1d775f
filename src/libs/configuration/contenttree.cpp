#include "whintack/configuration/contenttree.h"

#include "whintack/base/digest.h"
#include "whintack/configuration/head.h"

#include <array>

namespace whintack::configuration {

static constexpr size_t MinPartBytes = 256;
static constexpr size_t MaxPartBytes = 8192;
/// A part ends where this many bits of the rolling hash are zero, so that parts
/// have about 1 KB.
static constexpr unsigned BoundaryBits = 10;
static constexpr unsigned HashBits = 64;
static constexpr size_t MinListed = 2;
static constexpr size_t MaxListed = 128;
/// Length of a digest in a list.
static constexpr size_t DigestLength = 32;
/// Deeper trees are rejected. Each level lists at least MinListed contents.
static constexpr unsigned MaxDepth = 16;

/// Returns a random value for each byte.
static std::array<uint64_t, 256> makeByteHashes() {
  std::array<uint64_t, 256> Hashes{};
  for (size_t Byte = 0; Byte < Hashes.size(); ++Byte)
    Hashes[Byte] =
        rendezvousWeight("byte", std::string(1, static_cast<char>(Byte)));
  return Hashes;
}

/// Splits \p Text where a hash of the 64 bytes before ends in zeros.
static std::vector<std::string> splitText(const std::string &Text) {
  static const std::array<uint64_t, 256> ByteHashes = makeByteHashes();
  std::vector<std::string> Parts;
  size_t Begin = 0;
  uint64_t Hash = 0;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    Hash = (Hash << 1U) + ByteHashes[static_cast<unsigned char>(Text[Index])];
    const size_t Length = Index + 1 - Begin;
    const bool IsBoundary = Hash >> (HashBits - BoundaryBits) == 0;
    if ((IsBoundary && Length >= MinPartBytes) || Length == MaxPartBytes) {
      Parts.push_back(Text.substr(Begin, Length));
      Begin = Index + 1;
    }
  }
  if (Begin < Text.size() || Parts.empty())
    Parts.push_back(Text.substr(Begin));
  return Parts;
}

/// Groups digests into lists. One digest in 32 ends a list.
static std::vector<std::string>
makeLists(const std::vector<std::string> &Digests) {
  std::vector<std::string> Lists;
  std::string Current;
  for (const std::string &Digest : Digests) {
    Current += Digest;
    const size_t Listed = Current.size() / DigestLength;
    const bool IsBoundary = Digest[0] == '0' && Digest[1] < '8';
    if ((IsBoundary && Listed >= MinListed) || Listed == MaxListed)
      Lists.push_back(std::exchange(Current, {}));
  }
  if (!Current.empty())
    Lists.push_back(std::move(Current));
  return Lists;
}

/// Adds contents to the cache and returns their digests.
static std::vector<std::string>
addContents(ContentCache &Cache, const std::vector<std::string> &Contents) {
  std::vector<std::string> Digests;
  Digests.reserve(Contents.size());
  for (const std::string &Content : Contents) {
    Digests.push_back(shortDigest(Content));
    Cache.add(Digests.back(), Content);
  }
  return Digests;
}

ContentTree addText(ContentCache &Cache, const std::string &Text) {
  ContentTree Tree;
  std::vector<std::string> Digests = addContents(Cache, splitText(Text));
  while (Digests.size() > 1) {
    Digests = addContents(Cache, makeLists(Digests));
    ++Tree.Depth;
  }
  Tree.Root = Digests.front();
  return Tree;
}

/// Looks up \p Digests and returns the contents that are there, one after the
/// other.
static std::string joinContents(const ContentCache &Cache,
                                const std::vector<std::string> &Digests,
                                AssembledText &Assembled) {
  std::string Joined;
  for (const std::string &Digest : Digests) {
    if (const std::optional<std::string> Content = Cache.find(Digest)) {
      Joined += *Content;
      Assembled.Found.push_back(Digest);
    } else {
      Assembled.Missing.push_back(Digest);
    }
  }
  return Joined;
}

AssembledText assembleText(const ContentCache &Cache, const ContentTree &Tree) {
  AssembledText Assembled;
  if (Tree.Depth > MaxDepth) {
    Assembled.IsMalformed = true;
    return Assembled;
  }
  std::vector<std::string> Digests = {Tree.Root};
  for (unsigned Level = Tree.Depth; Level > 0; --Level) {
    const std::string List = joinContents(Cache, Digests, Assembled);
    if (!Assembled.Missing.empty())
      return Assembled;
    if (List.size() % DigestLength != 0) {
      Assembled.IsMalformed = true;
      return Assembled;
    }
    Digests.clear();
    for (size_t At = 0; At < List.size(); At += DigestLength)
      Digests.push_back(List.substr(At, DigestLength));
  }
  std::string Text = joinContents(Cache, Digests, Assembled);
  if (Assembled.Missing.empty())
    Assembled.Text = std::move(Text);
  return Assembled;
}

} // namespace whintack::configuration
