#include "config_private.h"

#include <string.h>

static void
check_product_known (const Config *config,
                     const MuxClassSpec *spec,
                     MuxFindings *findings)
{
  if (config_object_revision (
          config_object (config, MUX_CONFIG_PRODUCT, spec->product))
      == 0)
    mux_findings_add (findings, "product",
                      "unknown_product: \"%s\" is not configured",
                      spec->product);
}

static void
check_product_unused (const Config *config,
                      const char *product,
                      MuxFindings *findings)
{
  const ConfigObject *object;

  for (object = config->objects; object != NULL; object = object->hh.next)
    if (object->spec.name[0] != 0
        && strcmp (object->spec.product, product) == 0)
      mux_findings_add (findings, "name",
                        "product is in use by the class \"%s\"", object->name);
}

static void
check_remove (const Config *config,
              MuxConfigSort sort,
              const char *name,
              MuxFindings *findings)
{
  if (sort == MUX_CONFIG_PRODUCT)
    check_product_unused (config, name, findings);
  if (sort == MUX_CONFIG_CELL)
    mux_findings_add (findings, "name", "the cell can't be removed");
}

/* Returns the value with every field, as it will be stored; NULL: there are
 * findings, or memory is exhausted. */
static json_t *
full_value (const Config *config,
            MuxConfigSort sort,
            const json_t *value,
            MuxFindings *findings)
{
  MuxClassSpec class_spec = { 0 };
  MuxProductSpec product_spec = { 0 };
  MuxCellSpec cell_spec = { 0 };

  switch (sort)
    {
    case MUX_CONFIG_CLASS:
      if (!mux_class_from_json (value, "", &class_spec, findings))
        return NULL;
      check_product_known (config, &class_spec, findings);
      return mux_class_to_json (&class_spec);
    case MUX_CONFIG_PRODUCT:
      if (!mux_product_from_json (value, "", &product_spec, findings))
        return NULL;
      return mux_product_to_json (&product_spec);
    case MUX_CONFIG_CELL:
      if (!mux_cell_from_json (value, "", &cell_spec, findings))
        return NULL;
      return mux_cell_to_json (&cell_spec);
    default:
      return json_pack ("{s:b}", "drain", 1);
    }
}

bool
config_check (const Config *config,
              MuxConfigSort sort,
              const char *name,
              json_t **value,
              MuxFindings *findings)
{
  json_t *full;

  if (*value == NULL)
    {
      check_remove (config, sort, name, findings);
      return true;
    }
  full = full_value (config, sort, *value, findings);
  if (findings->count > 0)
    {
      json_decref (full);
      return true;
    }
  if (full == NULL)
    return false;
  json_decref (*value);
  *value = full;
  return true;
}
