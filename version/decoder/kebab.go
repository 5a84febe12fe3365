package decoder

import (
	"strings"
	"unicode"
)

// Kebab returns the kebab case of a Go name, with initialisms as one word:
// "MaxTokens" gives "max-tokens" and "ID" gives "id".
func Kebab(name string) string {
	runes := []rune(name)
	var text strings.Builder
	for i, r := range runes {
		if unicode.IsUpper(r) && i > 0 {
			afterLower := !unicode.IsUpper(runes[i-1])
			beforeLower := i+1 < len(runes) && unicode.IsLower(runes[i+1])
			if afterLower || beforeLower {
				text.WriteByte('-')
			}
		}
		text.WriteRune(unicode.ToLower(r))
	}
	return text.String()
}
