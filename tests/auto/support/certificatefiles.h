#ifndef WHINTACK_TESTS_CERTIFICATEFILES_H
#define WHINTACK_TESTS_CERTIFICATEFILES_H

#include "whintack/base/address.h"

#include <cstdio>
#include <filesystem>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <string>
#include <unistd.h>

namespace whintack::tests {

/// A self-signed certificate for one address, in files.
class CertificateFiles {
public:
  explicit CertificateFiles(const Address &Server)
      : Certificate(path("certificate")), Key(path("key")) {
    EVP_PKEY *KeyPair = EVP_EC_gen("P-256");
    X509 *Signed = X509_new();
    X509_set_version(Signed, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(Signed), 1);
    constexpr long Hour = 3600;
    X509_gmtime_adj(X509_getm_notBefore(Signed), -Hour);
    X509_gmtime_adj(X509_getm_notAfter(Signed), Hour);
    X509_set_pubkey(Signed, KeyPair);
    X509_NAME *Name = X509_get_subject_name(Signed);
    X509_NAME_add_entry_by_txt(
        Name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>(Server.Ip.c_str()), -1, -1, 0);
    X509_set_issuer_name(Signed, Name);
    X509_EXTENSION *Host = X509V3_EXT_conf_nid(
        nullptr, nullptr, NID_subject_alt_name, ("IP:" + Server.Ip).c_str());
    X509_add_ext(Signed, Host, -1);
    X509_sign(Signed, KeyPair, EVP_sha256());
    FILE *File = fopen(this->Certificate.c_str(), "w");
    PEM_write_X509(File, Signed);
    fclose(File);
    File = fopen(this->Key.c_str(), "w");
    PEM_write_PrivateKey(File, KeyPair, nullptr, nullptr, 0, nullptr, nullptr);
    fclose(File);
    X509_EXTENSION_free(Host);
    X509_free(Signed);
    EVP_PKEY_free(KeyPair);
  }
  ~CertificateFiles() {
    std::filesystem::remove(this->Certificate);
    std::filesystem::remove(this->Key);
  }

  std::string Certificate;
  std::string Key;

private:
  static std::string path(const std::string &Kind) {
    return std::filesystem::temp_directory_path() /
           ("whintack-" + std::to_string(getpid()) + "-" + Kind + ".pem");
  }
};

} // namespace whintack::tests

#endif // WHINTACK_TESTS_CERTIFICATEFILES_H
