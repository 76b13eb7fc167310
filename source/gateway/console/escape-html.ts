/**
Escapes text for HTML pages.
*/

const entities: ReadonlyMap<string, string> = new Map([['&', '&amp;'], ['<', '&lt;'], ['>', '&gt;'], ['"', '&quot;'], ['\'', '&#39;']]);

/**
Returns text that can be placed inside an element or a quoted attribute.

@example
```
escapeHtml('<b>'); // '&lt;b&gt;'
```
*/
export const escapeHtml = (text: string): string => text.replaceAll(/[&<>"']/g, character => entities.get(character) ?? character);
