/** Encodings of external data: MessagePack frames, JSON log records and TOML files. */
package org.dogwoodwood.codec;
