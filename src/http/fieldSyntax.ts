/** A field name is a token (RFC 9110, sections 5.1 and 5.6.2). */
const TOKEN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
/**
 * Characters of field values (RFC 9110, section 5.5) and of reason phrases (RFC 9112, section 4). The tab is the only
 * control byte: CR, LF and NUL must not be passed on, and common parsers reject messages with any other one.
 */
const TEXT = /^[\t\x20-\x7E\x80-\xFF]*$/

/**
 * Whether a text in Latin-1 is a valid field name.
 *
 * @example
 * isFieldName('Content-Length') // true
 * isFieldName('Content-Length ') // false
 */
export function isFieldName (text: string): boolean {
  return TOKEN.test(text)
}

/**
 * Whether a text in Latin-1 may be a field value or a reason phrase.
 *
 * @example
 * isFieldText('voil\xE0') // true
 * isFieldText('a\rb') // false
 */
export function isFieldText (text: string): boolean {
  return TEXT.test(text)
}

function isBlank (code: number): boolean {
  return code === 0x20 || code === 0x09
}

/**
 * Removes spaces and tabs around a field value. `trim` would also remove bytes above 0x7F.
 *
 * @example
 * trimBlanks(' a b\t') // 'a b'
 */
export function trimBlanks (text: string): string {
  let start = 0
  let end = text.length
  while (start < end && isBlank(text.charCodeAt(start))) start += 1
  while (end > start && isBlank(text.charCodeAt(end - 1))) end -= 1
  return text.slice(start, end)
}

/**
 * Whether a text consists of whole field lines.
 *
 * @example
 * areFieldLines('A: b\r\nC: d\r\n') // true
 * areFieldLines('A: b\r\n c\r\n') // false
 */
export function areFieldLines (text: string): boolean {
  for (let at = 0; at < text.length;) {
    const colonAt = text.indexOf(':', at)
    const endAt = text.indexOf('\r\n', at)
    if (colonAt < 0 || endAt < colonAt) return false
    if (!isFieldName(text.slice(at, colonAt)) || !isFieldText(text.slice(colonAt + 1, endAt))) return false
    at = endAt + 2
  }
  return true
}
